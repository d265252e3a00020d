#include "requests/key_registry.h"

#include <utility>

namespace kingcupcart::requests {

namespace {

std::size_t size_of(const recorded_response& response) {
    std::size_t size = sizeof(response) + response.body.size();
    for (const header_field& header : response.headers) {
        size += sizeof(header) + header.name.size() + header.value.size();
    }
    return size;
}

} // namespace

key_registry::key_registry(instance_id owner, incarnation_id incarnation, duration key_lifetime,
                           std::size_t bytes_limit)
    : owner(std::move(owner)),
      incarnation(incarnation),
      key_lifetime(key_lifetime),
      bytes_limit(bytes_limit) {}

issued_key key_registry::issue(time_point now) {
    issued_key key;
    key.owner = this->owner;
    key.incarnation = this->incarnation;
    key.number = ++this->last_number;
    key.issued = now;
    return key;
}

key_lookup key_registry::begin(const idempotency_key& key, std::uint64_t fingerprint,
                               request_id request, time_point key_created, time_point now) {
    this->expire(now);
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        const entry& current = found->second;
        if (current.fingerprint != fingerprint) {
            return {key_state::mismatched, current.request, nullptr};
        }
        if (!current.response) {
            return {key_state::running, current.request, nullptr};
        }
        return {key_state::finished, current.request, &*current.response};
    }
    if (now - key_created >= this->key_lifetime) {
        return {key_state::expired, {}, nullptr};
    }
    if (this->bytes >= this->bytes_limit) {
        return {key_state::full, {}, nullptr};
    }
    this->entries.emplace(key, entry{fingerprint, request, std::nullopt});
    this->by_age.push_back({now + this->key_lifetime, key});
    return {key_state::started, request, nullptr};
}

void key_registry::finish(const idempotency_key& key, recorded_response response) {
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return;
    }
    if (found->second.response) {
        this->bytes -= size_of(*found->second.response);
    }
    this->bytes += size_of(response);
    found->second.response = std::move(response);
}

void key_registry::release(const idempotency_key& key) {
    this->entries.erase(key);
}

bool key_registry::is_owner_of(const issued_key& key) const {
    return key.owner == this->owner && key.incarnation == this->incarnation;
}

void key_registry::expire(time_point now) {
    std::size_t remaining = this->by_age.size();
    while (remaining-- > 0 && this->by_age.front().expires <= now) {
        const age_record oldest = std::move(this->by_age.front());
        this->by_age.pop_front();
        const auto found = this->entries.find(oldest.key);
        if (found == this->entries.end()) {
            continue;
        }
        if (!found->second.response) {
            // The request is still running, and a resent one must find it.
            this->by_age.push_back({now + this->key_lifetime, oldest.key});
            continue;
        }
        this->bytes -= size_of(*found->second.response);
        this->entries.erase(found);
    }
}

} // namespace kingcupcart::requests
