#include "quarantine/crash_registry.h"

#include <algorithm>
#include <chrono>
#include <iterator>

/// What a registry sends to the senders.
namespace kingcupcart::quarantine {

namespace {

/// While demands or updates are pending, `collect` is called at this interval.
constexpr duration collect_interval = std::chrono::milliseconds(50);

} // namespace

void crash_registry::send_updates(time_point now, std::vector<addressed_message>& messages) {
    // Also while nothing is unsent, so that rounding does not depend on what was sent before.
    this->update_rate.refill(now);
    for (const bool is_quarantine : {true, false}) {
        for (auto next = this->unsent.begin(); next != this->unsent.end();) {
            const reported_suspect* known = this->suspects.find(*next);
            if (known == nullptr) {
                next = this->unsent.erase(next);
                continue;
            }
            if (is_quarantine && known->state < suspect_state::unconfirmed) {
                ++next;
                continue;
            }
            if (!this->update_rate.take(now)) {
                return;
            }
            messages.push_back({std::nullopt, known->make_update(*next, now, this->limits)});
            next = this->unsent.erase(next);
        }
    }
}

std::vector<addressed_message> crash_registry::collect(time_point now) {
    this->expire(now);
    if (!this->is_authorized) {
        this->outgoing.clear();
        this->unsent.clear();
        return {};
    }
    // Updates go first: a sender that gets a trial has to know how many there were.
    const std::vector<addressed_message> grants = this->grant_trials(now);
    std::vector<addressed_message> messages;
    this->send_updates(now, messages);
    std::move(this->outgoing.begin(), this->outgoing.end(), std::back_inserter(messages));
    this->outgoing.clear();
    messages.insert(messages.end(), grants.begin(), grants.end());
    return messages;
}

std::vector<suspect_update> crash_registry::initial_messages(time_point now) const {
    std::vector<suspect_update> updates;
    if (!this->is_authorized) {
        return updates;
    }
    for (const suspect_state wanted :
         {suspect_state::quarantined, suspect_state::unconfirmed, suspect_state::restricted}) {
        for (const auto& [fingerprint, known] : this->suspects) {
            if (known.state == wanted && updates.size() < this->limits.max_initial_messages) {
                updates.push_back(known.make_update(fingerprint, now, this->limits));
            }
        }
    }
    return updates;
}

std::optional<time_point> crash_registry::next_wakeup() const {
    if (this->is_authorized && !this->outgoing.empty()) {
        return time_point::min();
    }
    std::optional<time_point> next;
    const auto include = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    if (this->is_authorized && (!this->unsent.empty() || !this->demanded.empty())) {
        include(this->collected_at + collect_interval);
    }
    for (const auto& [fingerprint, known] : this->suspects) {
        if (known.trial) {
            include(known.trial->granted_at + this->limits.trial_lease);
        }
        if (const auto expiry = known.history.next_expiry(this->limits)) {
            include(*expiry);
        } else if (const auto cleared_at = known.history.cleared_at()) {
            include(*cleared_at + this->limits.cleared_lifetime);
        }
        for (const auto& [sender, until] : known.copies) {
            include(until);
        }
    }
    return next;
}

} // namespace kingcupcart::quarantine
