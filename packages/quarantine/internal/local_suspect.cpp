#include "quarantine/local_suspect.h"

namespace kingcupcart::quarantine {

bool local_suspect::may_begin_own_trial(time_point now, const quarantine_limits& limits) const {
    return this->crashes.state() == suspect_state::restricted &&
           this->trial.may_begin_own(now, limits) && this->lone.empty();
}

bool local_suspect::wants_trial(time_point now) const {
    const suspect_state state = this->crashes.state();
    if (this->waiting == 0 || this->trial.has_trial() || state < suspect_state::restricted) {
        return false;
    }
    return state != suspect_state::quarantined || now >= this->crashes.next_trial_at();
}

std::optional<time_point> local_suspect::next_demand_at(const quarantine_limits& limits) const {
    if (this->waiting == 0 || this->trial.has_trial() ||
        this->crashes.state() < suspect_state::restricted) {
        return std::nullopt;
    }
    return this->trial.next_demand_at(limits).value_or(this->crashes.next_trial_at());
}

bool local_suspect::is_idle() const {
    return this->crashes.count() == 0 && this->waiting == 0 && !this->trial.has_trial() &&
           !this->trial.has_demand();
}

send_decision local_suspect::decide(time_point now, const quarantine_limits& limits) const {
    switch (this->crashes.state()) {
    case suspect_state::cleared:
        return {};
    case suspect_state::suspected:
        return {this->lone.empty() ? send_permission::alone : send_permission::wait};
    case suspect_state::restricted:
    case suspect_state::unconfirmed:
        return {this->trial.has_grant(now) || this->may_begin_own_trial(now, limits)
                    ? send_permission::trial
                    : send_permission::wait};
    case suspect_state::quarantined:
        break;
    }
    if (this->trial.has_grant(now)) {
        return {send_permission::trial};
    }
    const bool awaits_end = this->trial.has_trial() || !this->copies.empty();
    const bool is_due =
        now >= this->crashes.next_trial_at() && !this->trial.has_lost_leader(now, limits);
    if (awaits_end || is_due) {
        return {send_permission::wait};
    }
    const duration wait = this->crashes.next_trial_at() - now;
    const bool is_soon = wait > duration::zero() && wait <= limits.max_retry_after;
    return {send_permission::refused, is_soon ? wait : duration::zero()};
}

bool local_suspect::begin(attempt_id attempt, time_point now, const quarantine_limits& limits) {
    if (this->crashes.count() == 0) {
        this->copies.insert(attempt);
        return false;
    }
    const bool is_granted = this->trial.has_grant(now);
    const bool is_own = !is_granted && this->may_begin_own_trial(now, limits);
    if (is_granted) {
        this->trial.begin(attempt);
    } else if (is_own) {
        this->trial.begin_own(attempt, now);
    }
    this->lone.insert(attempt);
    return is_granted || is_own;
}

void local_suspect::end(attempt_id attempt) {
    this->lone.erase(attempt);
    this->copies.erase(attempt);
}

void local_suspect::end_suspicion() {
    this->reported_copies = 0;
    this->copies.insert(this->lone.begin(), this->lone.end());
    this->lone.clear();
}

std::optional<std::uint32_t> local_suspect::take_copies_to_report() {
    const auto running = static_cast<std::uint32_t>(this->copies.size());
    if (this->crashes.state() < suspect_state::restricted ||
        (running == 0) == (this->reported_copies == 0)) {
        return std::nullopt;
    }
    this->reported_copies = running;
    return running;
}

} // namespace kingcupcart::quarantine
