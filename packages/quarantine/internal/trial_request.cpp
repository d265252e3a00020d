#include "quarantine/trial_request.h"

#include <algorithm>

namespace kingcupcart::quarantine {

bool trial_request::has_grant(time_point now) const {
    return this->trial && !this->trial->attempt && now < this->trial->expires;
}

std::optional<time_point> trial_request::grant_expiry() const {
    if (!this->trial || this->trial->attempt) {
        return std::nullopt;
    }
    return this->trial->expires;
}

bool trial_request::is_trial(attempt_id attempt) const {
    return this->trial && this->trial->attempt == attempt;
}

bool trial_request::has_lost_leader(time_point now, const quarantine_limits& limits) const {
    return this->unanswered_since && now - *this->unanswered_since >= limits.leader_timeout;
}

bool trial_request::may_begin_own(time_point now, const quarantine_limits& limits) const {
    return this->has_lost_leader(now, limits) && !this->used_own && !this->trial;
}

void trial_request::begin_own(attempt_id attempt, time_point now) {
    this->used_own = true;
    this->trial = granted_trial{0, now, attempt, true};
}

std::optional<trial_end> trial_request::end(const request_fingerprint& fingerprint,
                                            trial_outcome outcome) {
    const granted_trial ended = *this->trial;
    this->trial.reset();
    if (ended.is_own) {
        return std::nullopt;
    }
    return trial_end{fingerprint, ended.number, outcome};
}

bool trial_request::is_demand_due(bool is_wanted, time_point now,
                                  const quarantine_limits& limits) const {
    if (is_wanted != this->is_demanded) {
        return true;
    }
    return is_wanted && (this->sent_demands.empty() ||
                         now - this->sent_demands.back().sent_at >= limits.demand_interval);
}

trial_demand trial_request::make_demand(const request_fingerprint& fingerprint,
                                        std::uint64_t number, bool is_wanted, time_point now,
                                        const quarantine_limits& limits) {
    this->is_demanded = is_wanted;
    if (is_wanted) {
        while (!this->sent_demands.empty() &&
               now - this->sent_demands.front().sent_at >= limits.grant_lifetime) {
            this->sent_demands.pop_front();
        }
        this->sent_demands.push_back({number, now});
        this->unanswered_since = this->unanswered_since.value_or(now);
    } else {
        this->unanswered_since.reset();
    }
    return {fingerprint, number, !is_wanted};
}

std::optional<time_point> trial_request::next_demand_at(const quarantine_limits& limits) const {
    if (this->sent_demands.empty()) {
        return std::nullopt;
    }
    return this->sent_demands.back().sent_at + limits.demand_interval;
}

bool trial_request::accept(const trial_decision& decision, bool is_needed, time_point now,
                           const quarantine_limits& limits) {
    const auto demand =
        std::find_if(this->sent_demands.begin(), this->sent_demands.end(),
                     [&](const sent_demand& sent) { return sent.number == decision.demand; });
    if (demand == this->sent_demands.end() || now - demand->sent_at >= limits.grant_lifetime) {
        return false;
    }
    this->unanswered_since.reset();
    this->used_own = false;
    if (decision.verdict == trial_verdict::waiting) {
        return false;
    }
    if (decision.verdict == trial_verdict::granted) {
        if (this->trial || !is_needed) {
            return false;
        }
        this->trial =
            granted_trial{decision.demand, demand->sent_at + limits.grant_lifetime, {}, false};
    }
    this->is_demanded = false;
    this->sent_demands.clear();
    return true;
}

} // namespace kingcupcart::quarantine
