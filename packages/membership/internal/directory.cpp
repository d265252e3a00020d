#include "membership/directory.h"

#include <algorithm>
#include <chrono>

namespace kingcupcart::membership {

namespace {

/// How long the record of a removed target is kept, so that a delayed older record cannot restore
/// the target.
constexpr duration tombstone_lifetime = std::chrono::minutes(10);

} // namespace

directory_change directory::announce(const target_record& record, duration lease, time_point now) {
    const auto existing = this->entries.find(record.id);
    if (existing == this->entries.end()) {
        this->entries.emplace(record.id, entry{record, now + lease, true});
        return {directory_event::added, record};
    }
    entry& current = existing->second;
    if (current.record.is_same_announcement(record)) {
        current.is_locally_announced = true;
        if (!current.record.gone) {
            return this->refresh(current, now + lease);
        }
        // The target was marked as gone although it is present; other instances accept that only
        // from a newer record.
        target_record revived = record;
        revived.revision = current.record.revision + 1;
        return this->replace(current, revived, now + lease);
    }
    if (current.record.is_newer_than(record)) {
        return {directory_event::stale, current.record};
    }
    current.is_locally_announced = true;
    target_record renewed = record;
    renewed.revision = current.record.revision;
    if (current.record.equals_except_sequence(renewed)) {
        current.record = renewed;
        return this->refresh(current, now + lease);
    }
    return this->replace(current, record, now + lease);
}

directory_change directory::apply_update(const target_record& record, duration lease,
                                         time_point now) {
    const bool has_lease =
        this->scope == lease_scope::all_domains || record.place == this->local_location;
    time_point expires = has_lease ? now + lease : time_point::max();
    if (record.gone) {
        expires = now + tombstone_lifetime;
    }
    const auto existing = this->entries.find(record.id);
    if (existing == this->entries.end()) {
        this->entries.emplace(record.id, entry{record, expires, false});
        return {record.gone ? directory_event::stale : directory_event::added, record};
    }
    entry& current = existing->second;
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
        current.is_locally_announced = false;
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

directory_change directory::mark_leaving(const target_id& target) {
    const auto existing = this->entries.find(target);
    if (existing == this->entries.end()) {
        return {directory_event::stale, {}};
    }
    target_record& record = existing->second.record;
    if (record.gone || record.leaving) {
        return {directory_event::stale, record};
    }
    record.leaving = true;
    return {directory_event::changed, record};
}

void directory::renew(const target_id& target, duration lease, time_point now) {
    const auto existing = this->entries.find(target);
    if (existing != this->entries.end() && !existing->second.record.gone) {
        existing->second.expires = std::max(existing->second.expires, now + lease);
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
        current.expires = now + tombstone_lifetime;
        current.is_locally_announced = false;
        changes.push_back({directory_event::removed, current.record});
        ++item;
    }
    return changes;
}

std::vector<target_record> directory::records() const {
    std::vector<target_record> present;
    for (const auto& [id, current] : this->entries) {
        if (!current.record.gone) {
            present.push_back(current.record);
        }
    }
    return present;
}

std::vector<target_record> directory::records_with_removed() const {
    std::vector<target_record> all;
    all.reserve(this->entries.size());
    for (const auto& [id, current] : this->entries) {
        all.push_back(current.record);
    }
    return all;
}

std::vector<target_id> directory::locally_announced() const {
    std::vector<target_id> targets;
    for (const auto& [id, current] : this->entries) {
        if (current.is_locally_announced && !current.record.gone) {
            targets.push_back(id);
        }
    }
    return targets;
}

const target_record* directory::find(const target_id& target) const {
    const auto existing = this->entries.find(target);
    if (existing == this->entries.end() || existing->second.record.gone) {
        return nullptr;
    }
    return &existing->second.record;
}

std::size_t directory::size() const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& item) { return !item.second.record.gone; }));
}

} // namespace kingcupcart::membership
