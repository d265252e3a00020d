#include "quarantine/crash_history.h"

#include <algorithm>

namespace kingcupcart::quarantine {

namespace {

bool counts(const crash_history::crash& known) {
    return known.status != crash_status::withdrawn;
}

} // namespace

bool crash_history::record(const crash_record& reported, time_point now,
                           const quarantine_limits& limits) {
    const time_point at = now - reported.age;
    const bool is_obsolete =
        (this->completed_at && at <= *this->completed_at) || at + limits.crash_lifetime <= now ||
        (reported.status == crash_status::suspected && at + limits.suspicion_lifetime <= now);
    if (is_obsolete) {
        return false;
    }
    const auto known =
        std::find_if(this->entries.begin(), this->entries.end(), [&](const crash& entry) {
            return entry.target == reported.target && entry.incarnation == reported.incarnation;
        });
    const crash added{reported.target, reported.incarnation, reported.status, reported.is_trial,
                      at};
    if (known == this->entries.end()) {
        if (this->entries.size() >= limits.max_crashes) {
            std::erase_if(this->entries, [](const crash& entry) { return !counts(entry); });
        }
        if (this->entries.size() >= limits.max_crashes) {
            return false;
        }
        this->entries.insert(
            std::upper_bound(this->entries.begin(), this->entries.end(), added,
                             [](const crash& a, const crash& b) { return a.at < b.at; }),
            added);
        return true;
    }
    if (!counts(*known)) {
        // The target was found alive, and may have crashed later.
        if (!counts(added) || at <= known->at) {
            return false;
        }
        *known = added;
        return true;
    }
    const bool had_trial = known->is_trial;
    const crash_status had_status = known->status;
    known->is_trial = had_trial || reported.is_trial;
    if (reported.status != crash_status::suspected) {
        known->status = reported.status;
        known->at = counts(*known) ? known->at : at;
    }
    return known->is_trial != had_trial || known->status != had_status;
}

void crash_history::clear(time_point at) {
    std::erase_if(this->entries, [&](const crash& entry) { return entry.at <= at; });
    this->completed_at = this->completed_at ? std::max(*this->completed_at, at) : at;
}

bool crash_history::expire(time_point now, const quarantine_limits& limits) {
    const auto removed = std::erase_if(this->entries, [&](const crash& entry) {
        return entry.status == crash_status::suspected &&
               entry.at + limits.suspicion_lifetime <= now;
    });
    const auto last = this->last_at();
    if (!last || *last + limits.crash_lifetime > now) {
        return removed > 0;
    }
    this->entries.clear();
    return true;
}

bool crash_history::set_status(const target_id& target, incarnation_id incarnation,
                               crash_status status) {
    bool is_changed = false;
    for (crash& entry : this->entries) {
        if (entry.target == target && entry.incarnation == incarnation &&
            entry.status == crash_status::suspected) {
            entry.status = status;
            is_changed = true;
        }
    }
    return is_changed;
}

std::size_t crash_history::count() const {
    const auto first = this->first_at();
    if (!first || !this->completed_at || *first - *this->completed_at > answered_lifetime) {
        return static_cast<std::size_t>(
            std::count_if(this->entries.begin(), this->entries.end(), counts));
    }
    std::size_t moments = 0;
    std::optional<time_point> last;
    for (const crash& entry : this->entries) {
        if (counts(entry)) {
            moments += last && entry.at - *last <= same_moment ? 0 : 1;
            last = entry.at;
        }
    }
    return moments > answered_credit ? moments - answered_credit : 0;
}

std::optional<duration> crash_history::answered_age(time_point now) const {
    if (!this->completed_at || now - *this->completed_at > answered_lifetime) {
        return std::nullopt;
    }
    return now - *this->completed_at;
}

bool crash_history::contains(const target_id& target, incarnation_id incarnation) const {
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const crash& entry) {
        return counts(entry) && entry.target == target && entry.incarnation == incarnation;
    });
}

std::vector<crash_record> crash_history::latest(std::size_t limit, time_point now) const {
    std::vector<crash_record> records;
    for (const crash& entry : this->entries) {
        if (counts(entry)) {
            records.push_back({entry.target, entry.incarnation, entry.status, entry.is_trial,
                               std::max(duration::zero(), now - entry.at)});
        }
    }
    std::reverse(records.begin(), records.end());
    records.resize(std::min(records.size(), limit));
    return records;
}

std::optional<time_point> crash_history::quarantined_at() const {
    std::size_t number = 0;
    for (const crash& entry : this->entries) {
        if (counts(entry) && ++number == crashes_until_quarantine) {
            return entry.at;
        }
    }
    return std::nullopt;
}

std::optional<time_point> crash_history::first_at() const {
    const auto first = std::find_if(this->entries.begin(), this->entries.end(), counts);
    return first == this->entries.end() ? std::nullopt : std::optional(first->at);
}

std::optional<time_point> crash_history::last_at() const {
    if (this->entries.empty()) {
        return std::nullopt;
    }
    return std::max_element(this->entries.begin(), this->entries.end(),
                            [](const crash& a, const crash& b) { return a.at < b.at; })
        ->at;
}

std::optional<time_point> crash_history::next_expiry(const quarantine_limits& limits) const {
    const auto last = this->last_at();
    if (!last) {
        return std::nullopt;
    }
    time_point next = *last + limits.crash_lifetime;
    for (const crash& entry : this->entries) {
        if (entry.status == crash_status::suspected) {
            next = std::min(next, entry.at + limits.suspicion_lifetime);
        }
    }
    return next;
}

} // namespace kingcupcart::quarantine
