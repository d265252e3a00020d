#include "membership/directory.h"

#include <algorithm>
#include <chrono>

namespace kingcupcart::membership {

namespace {

/// How long a removed target is remembered, against records that travelled slowly.
constexpr duration tombstone_time = std::chrono::minutes(10);

} // namespace

directory_change directory::announce(const target_record& record, duration lease, time_point now) {
    const auto known = this->entries.find(record.id);
    if (known == this->entries.end()) {
        this->entries.emplace(record.id, entry{record, now + lease, true});
        return {directory_event::added, record};
    }
    entry& current = known->second;
    if (current.record.is_same_announcement(record)) {
        current.announced_here = true;
        if (!current.record.gone) {
            return this->refresh(current, now + lease);
        }
        // It was taken for dead, and is not: only a younger record may say so to the others.
        target_record revived = record;
        revived.revision = current.record.revision + 1;
        return this->replace(current, revived, now + lease);
    }
    if (current.record.is_newer_than(record)) {
        return {directory_event::stale, current.record};
    }
    current.announced_here = true;
    target_record renewed = record;
    renewed.revision = current.record.revision;
    if (current.record.is_repeated_by(renewed)) {
        current.record = renewed;
        return this->refresh(current, now + lease);
    }
    return this->replace(current, record, now + lease);
}

directory_change directory::learn(const target_record& record, duration lease, time_point now) {
    const bool has_lease = this->scope == lease_scope::all_domains || record.place == this->here;
    time_point expires = has_lease ? now + lease : time_point::max();
    if (record.gone) {
        expires = now + tombstone_time;
    }
    const auto known = this->entries.find(record.id);
    if (known == this->entries.end()) {
        this->entries.emplace(record.id, entry{record, expires, false});
        return {record.gone ? directory_event::stale : directory_event::added, record};
    }
    entry& current = known->second;
    if (record.is_newer_than(current.record)) {
        return this->replace(current, record, expires);
    }
    if (current.record.is_newer_than(record) || current.record.gone) {
        return {directory_event::stale, current.record};
    }
    return this->refresh(current, expires);
}

directory_change directory::replace(entry& current, const target_record& record,
                                    time_point expires) {
    const bool was_gone = current.record.gone;
    const bool is_restart = record.incarnation != current.record.incarnation;
    current.record = record;
    current.expires = expires;
    if (record.gone) {
        current.announced_here = false;
        return {was_gone ? directory_event::stale : directory_event::removed, record};
    }
    if (was_gone) {
        return {directory_event::added, record};
    }
    return {is_restart ? directory_event::restarted : directory_event::changed, record};
}

directory_change directory::refresh(entry& current, time_point expires) {
    current.expires = std::max(current.expires, expires);
    return {directory_event::renewed, current.record};
}

void directory::renew(const target_id& target, duration lease, time_point now) {
    const auto known = this->entries.find(target);
    if (known != this->entries.end() && !known->second.record.gone) {
        known->second.expires = std::max(known->second.expires, now + lease);
    }
}

std::vector<directory_change> directory::expire(time_point now) {
    std::vector<directory_change> changes;
    for (auto item = this->entries.begin(); item != this->entries.end();) {
        entry& current = item->second;
        if (current.expires > now) {
            ++item;
            continue;
        }
        if (current.record.gone) {
            item = this->entries.erase(item);
            continue;
        }
        current.record.gone = true;
        ++current.record.revision;
        current.expires = now + tombstone_time;
        current.announced_here = false;
        changes.push_back({directory_event::removed, current.record});
        ++item;
    }
    return changes;
}

std::vector<target_record> directory::records() const {
    std::vector<target_record> living;
    for (const auto& [id, current] : this->entries) {
        if (!current.record.gone) {
            living.push_back(current.record);
        }
    }
    return living;
}

std::vector<target_id> directory::locally_announced() const {
    std::vector<target_id> vouched;
    for (const auto& [id, current] : this->entries) {
        if (current.announced_here && !current.record.gone) {
            vouched.push_back(id);
        }
    }
    return vouched;
}

const target_record* directory::find(const target_id& target) const {
    const auto known = this->entries.find(target);
    if (known == this->entries.end() || known->second.record.gone) {
        return nullptr;
    }
    return &known->second.record;
}

std::size_t directory::size() const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& item) { return !item.second.record.gone; }));
}

} // namespace kingcupcart::membership
