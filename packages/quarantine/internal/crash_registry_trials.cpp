#include "quarantine/crash_registry.h"

#include <algorithm>
#include <tuple>

/// Which sender gets a trial of a suspect, and when.
namespace kingcupcart::quarantine {

void crash_registry::on(const instance_id& sender, const trial_demand& demand, time_point now) {
    if (!this->is_authorized) {
        return;
    }
    reported_suspect* known = this->suspects.find(demand.fingerprint);
    if (demand.is_withdrawn) {
        if (known != nullptr) {
            known->demands.erase(sender);
        }
        return;
    }
    if (known != nullptr && known->state >= suspect_state::restricted) {
        this->outgoing.push_back({sender, this->decide(sender, demand, *known, now)});
        return;
    }
    if (now - this->authorized_at >= this->limits.settle_time) {
        // The sender has missed that the suspicion ended.
        suspect_update update;
        update.fingerprint = demand.fingerprint;
        update.state = suspect_state::cleared;
        this->outgoing.push_back({sender, update});
    }
}

trial_decision crash_registry::decide(const instance_id& sender, const trial_demand& demand,
                                      reported_suspect& known, time_point now) {
    trial_decision decision{demand.fingerprint, demand.number, trial_verdict::waiting, {}};
    const time_point due = known.next_trial_at(this->limits);
    if (known.state == suspect_state::quarantined && due > now) {
        decision.verdict = trial_verdict::refused;
        decision.retry_after = due == time_point::max() ? this->limits.crash_lifetime : due - now;
        known.demands.erase(sender);
        if (!known.has_refused) {
            known.has_refused = true;
            this->add_event(quarantine_transition::refused, demand.fingerprint, known,
                            known.history.count(), sender, now);
        }
        return decision;
    }
    const auto [position, is_new] = known.demands.try_emplace(sender);
    reported_suspect::demand_state& state = position->second;
    state.first_received_at = is_new ? now : state.first_received_at;
    state.number = std::max(state.number, demand.number);
    state.received_at = now;
    this->demanded.insert(demand.fingerprint);
    return decision;
}

void crash_registry::on(const instance_id& sender, const trial_end& ended, time_point now) {
    reported_suspect* known = this->suspects.find(ended.fingerprint);
    if (known == nullptr || !known->trial || known->trial->sender != sender ||
        known->trial->number != ended.number) {
        return;
    }
    if (ended.outcome == trial_outcome::unused && known->trial->is_late) {
        --known->late_trials;
        known->last_trial_at = known->trial->previous_trial_at;
        this->unsent.insert(ended.fingerprint);
    }
    known->trial.reset();
    this->refresh(ended.fingerprint, *known, sender, now);
}

bool crash_registry::may_grant(const request_fingerprint& fingerprint,
                               const reported_suspect& known, time_point now) const {
    if (known.trial || known.demands.empty() || known.state < suspect_state::restricted ||
        now < known.next_trial_at(this->limits)) {
        return false;
    }
    return !known.awaits_copies(now, this->limits) &&
           !this->suspects.has_related_trial(fingerprint, now - this->limits.isolation_time);
}

std::vector<addressed_message> crash_registry::grant_trials(time_point now) {
    std::vector<addressed_message> grants;
    if (now - this->authorized_at < this->limits.settle_time) {
        return grants;
    }
    std::vector<std::tuple<time_point, instance_id, request_fingerprint>> turns;
    for (const request_fingerprint& fingerprint : this->demanded) {
        for (const auto& [sender, demand] : this->suspects.at(fingerprint).demands) {
            turns.emplace_back(demand.first_received_at, sender, fingerprint);
        }
    }
    std::sort(turns.begin(), turns.end());
    for (const auto& [since, sender, fingerprint] : turns) {
        reported_suspect& known = this->suspects.at(fingerprint);
        if (!this->may_grant(fingerprint, known, now)) {
            continue;
        }
        const std::uint64_t number = known.demands.at(sender).number;
        const auto third = known.history.quarantined_at();
        const bool is_late = third && now - *third >= this->limits.free_trial_time;
        known.trial =
            reported_suspect::running_trial{sender, number, now, is_late, known.last_trial_at};
        known.demands.erase(sender);
        known.has_refused = false;
        if (is_late) {
            ++known.late_trials;
            known.last_trial_at = now;
            this->unsent.insert(fingerprint);
        }
        ++this->trials;
        grants.push_back({sender, trial_decision{fingerprint, number, trial_verdict::granted, {}}});
    }
    return grants;
}

} // namespace kingcupcart::quarantine
