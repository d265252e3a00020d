#include "streams/stream_table.h"

#include "streams/record_limits.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::streams {

namespace {

/// Lifetimes and ages come from other instances.
std::chrono::milliseconds bounded(std::chrono::milliseconds time) {
    return std::clamp(time, std::chrono::milliseconds(0), max_record_lifetime);
}

std::chrono::milliseconds until(time_point from, time_point to) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

} // namespace

void stream_table::put(const stream_record& record, time_point now) {
    this->remove_expired(now);
    const time_point expires_at = now + bounded(record.lifetime);
    const time_point recorded_at = now - bounded(record.age);
    const std::size_t id_bytes = record.stream.value().size();
    if (id_bytes == 0 || id_bytes > max_stream_id_bytes || expires_at <= now) {
        return;
    }
    origin named{record.backend, record.software};
    const auto [found, is_new] = this->entries.try_emplace(record.stream);
    entry& changed = found->second;
    if (is_new) {
        changed.origin = this->origins.end();
        changed.expiry = this->expiries.emplace(expires_at, &found->first);
        changed.recorded_at = recorded_at;
    } else {
        if (changed.origin->first != named) {
            named.software.reset();
        }
        const time_point latest = std::max(changed.expiry->first, expires_at);
        this->expiries.erase(changed.expiry);
        changed.expiry = this->expiries.emplace(latest, &found->first);
        changed.recorded_at = std::min(changed.recorded_at, recorded_at);
    }
    this->set_origin(changed, named);
    if (this->entries.size() > this->max_records) {
        ++this->evictions;
        this->remove_first();
    }
}

std::optional<stream_record> stream_table::find(const stream_id& stream, time_point now) const {
    const auto found = this->entries.find(stream);
    if (found == this->entries.end() || found->second.expiry->first <= now) {
        return std::nullopt;
    }
    const entry& known = found->second;
    return stream_record{stream, known.origin->first.backend, known.origin->first.software,
                         until(now, known.expiry->first), until(known.recorded_at, now)};
}

std::vector<stream_id> stream_table::streams() const {
    std::vector<stream_id> known;
    known.reserve(this->entries.size());
    for (const auto& [expires_at, stream] : this->expiries) {
        known.push_back(*stream);
    }
    return known;
}

void stream_table::remove_expired(time_point now) {
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        this->remove_first();
    }
}

void stream_table::set_origin(entry& changed, const origin& value) {
    const auto next = this->origins.try_emplace(value, 0).first;
    ++next->second;
    if (changed.origin != this->origins.end()) {
        this->release_origin(changed);
    }
    changed.origin = next;
}

void stream_table::release_origin(const entry& changed) {
    if (--changed.origin->second == 0) {
        this->origins.erase(changed.origin);
    }
}

void stream_table::remove_first() {
    const auto first = this->expiries.begin();
    const auto found = this->entries.find(*first->second);
    this->release_origin(found->second);
    this->expiries.erase(first);
    this->entries.erase(found);
}

} // namespace kingcupcart::streams
