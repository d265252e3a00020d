#include "quarantine/reported_suspect.h"

#include <algorithm>

namespace kingcupcart::quarantine {

time_point reported_suspect::next_trial_at(const quarantine_limits& limits) const {
    if (this->late_trials >= max_late_trials) {
        return time_point::max();
    }
    if (this->state != suspect_state::quarantined) {
        return time_point::min();
    }
    const time_point last_crash = this->history.last_at().value_or(time_point::min());
    const time_point last = std::max(last_crash, this->last_trial_at.value_or(last_crash));
    return last + limits.trial_delays.at(this->late_trials);
}

bool reported_suspect::awaits_copies(time_point now, const quarantine_limits& limits) const {
    const auto oldest = std::min_element(
        this->demands.begin(), this->demands.end(), [](const auto& a, const auto& b) {
            return a.second.first_received_at < b.second.first_received_at;
        });
    return oldest != this->demands.end() && !this->copies.empty() &&
           now - oldest->second.first_received_at < limits.copy_wait;
}

suspect_update reported_suspect::make_update(const request_fingerprint& fingerprint, time_point now,
                                             const quarantine_limits& limits) const {
    suspect_update update;
    update.fingerprint = fingerprint;
    update.state = this->state;
    update.crashes = static_cast<std::uint32_t>(this->history.count());
    update.latest = this->history.latest(limits.max_reported_crashes, now);
    update.late_trials = this->late_trials;
    if (this->last_trial_at) {
        update.last_trial_age = now - *this->last_trial_at;
    }
    const time_point due = this->next_trial_at(limits);
    update.next_trial_in = due == time_point::max()
                               ? limits.crash_lifetime
                               : std::max(duration::zero(), std::max(due, now) - now);
    update.answered_age = this->history.answered_age(now);
    return update;
}

void reported_suspect::expire(time_point now, const quarantine_limits& limits) {
    if (this->trial && now - this->trial->granted_at >= limits.trial_lease) {
        this->trial.reset();
    }
    std::erase_if(this->demands, [&](const auto& demand) {
        return now - demand.second.received_at >= limits.demand_timeout;
    });
    std::erase_if(this->copies, [&](const auto& running) { return running.second <= now; });
    this->history.expire(now, limits);
}

} // namespace kingcupcart::quarantine
