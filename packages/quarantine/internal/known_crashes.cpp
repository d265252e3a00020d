#include "quarantine/known_crashes.h"

#include <algorithm>

namespace kingcupcart::quarantine {

std::size_t known_crashes::count() const {
    const std::size_t seen = this->history.count();
    if (seen >= this->counted_at_update) {
        return this->updated_crashes + (seen - this->counted_at_update);
    }
    const std::size_t withdrawn = this->counted_at_update - seen;
    return this->updated_crashes > withdrawn ? this->updated_crashes - withdrawn : 0;
}

suspect_state known_crashes::state() const {
    const std::size_t crashes = this->count();
    if (crashes == 0) {
        return suspect_state::cleared;
    }
    if (crashes < crashes_until_trials) {
        return suspect_state::suspected;
    }
    if (crashes < crashes_until_quarantine) {
        return suspect_state::restricted;
    }
    return this->updated_state == suspect_state::quarantined ? suspect_state::quarantined
                                                             : suspect_state::unconfirmed;
}

void known_crashes::apply(const suspect_update& update, time_point now,
                          const quarantine_limits& limits) {
    if (update.answered_age) {
        this->history.clear(now - *update.answered_age);
    }
    for (const crash_record& crash : update.latest) {
        this->history.record(crash, now, limits);
    }
    this->updated_state = update.state;
    this->updated_crashes = update.crashes;
    this->counted_at_update = this->history.count();
    this->late_trials = update.late_trials;
    if (update.last_trial_age) {
        this->last_trial_at = now - *update.last_trial_age;
    }
    this->trial_due_at = now + update.next_trial_in;
}

void known_crashes::apply_refusal(time_point next_trial_at) {
    this->updated_state = suspect_state::quarantined;
    this->trial_due_at = std::max(this->trial_due_at, next_trial_at);
}

void known_crashes::clear(time_point completed_at) {
    this->history.clear(completed_at);
    this->reset_counts();
}

void known_crashes::clear_all(std::optional<time_point> completed_at) {
    this->history.forget();
    if (completed_at) {
        this->history.clear(*completed_at);
    }
    this->reset_counts();
}

void known_crashes::reset_counts() {
    this->updated_crashes = this->history.count();
    this->counted_at_update = this->updated_crashes;
    if (this->updated_crashes > 0) {
        return;
    }
    this->updated_state = suspect_state::cleared;
    this->late_trials = 0;
    this->last_trial_at.reset();
    this->trial_due_at = {};
}

bool known_crashes::expire(time_point now, const quarantine_limits& limits) {
    const std::size_t before = this->history.count();
    if (!this->history.expire(now, limits)) {
        return false;
    }
    if (this->history.count() == 0 && before > 0) {
        this->updated_crashes = 0;
        this->counted_at_update = 0;
    }
    return true;
}

bool known_crashes::take_completion(time_point completed_at) {
    const auto first = this->history.first_at();
    if (!first || *first - completed_at > answered_lifetime ||
        this->reported_completion == completed_at) {
        return false;
    }
    this->reported_completion = completed_at;
    return true;
}

suspect_update known_crashes::make_update(const request_fingerprint& fingerprint, time_point now,
                                          const quarantine_limits& limits) const {
    suspect_update update;
    update.fingerprint = fingerprint;
    update.state = this->state();
    update.crashes = static_cast<std::uint32_t>(this->count());
    update.latest = this->history.latest(limits.max_reported_crashes, now);
    update.late_trials = this->late_trials;
    if (this->last_trial_at) {
        update.last_trial_age = now - *this->last_trial_at;
    }
    update.next_trial_in = std::max(duration::zero(), this->trial_due_at - now);
    update.answered_age = this->history.answered_age(now);
    return update;
}

} // namespace kingcupcart::quarantine
