#include "quarantine/crash_registry.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace kingcupcart::quarantine {

namespace {

/// Shortest time between two searches for what has expired.
constexpr duration expiry_interval = std::chrono::milliseconds(10);
/// Number of targets that ended that are remembered, so that each counts once in the metrics.
constexpr std::size_t max_ended_targets = 4096;

} // namespace

void crash_registry::set_authority(bool authorized, time_point now) {
    if (authorized == this->is_authorized) {
        return;
    }
    this->is_authorized = authorized;
    this->authorized_at = now;
    this->unsent.clear();
    this->outgoing.clear();
    this->demanded.clear();
    for (auto& [fingerprint, known] : this->suspects) {
        known.trial.reset();
        known.demands.clear();
        if (authorized && known.state >= suspect_state::restricted) {
            this->unsent.insert(fingerprint);
        }
    }
}

void crash_registry::remove_sender(const instance_id& sender, time_point now) {
    for (auto& [fingerprint, known] : this->suspects) {
        known.demands.erase(sender);
        known.copies.erase(sender);
        if (known.trial && known.trial->sender == sender) {
            known.trial.reset();
        }
        this->refresh(fingerprint, known, sender, now);
    }
}

void crash_registry::handle(const instance_id& sender, const account_message& message,
                            time_point now) {
    std::visit([&](const auto& content) { this->on(sender, content, now); }, message);
}

reported_suspect& crash_registry::find_or_add(const request_fingerprint& fingerprint) {
    if (reported_suspect* known = this->suspects.find(fingerprint)) {
        return *known;
    }
    if (const auto surplus = this->suspects.find_surplus(this->limits.max_entries)) {
        this->erase(*surplus);
    }
    return this->suspects.add(fingerprint);
}

void crash_registry::erase(const request_fingerprint& fingerprint) {
    this->unsent.erase(fingerprint);
    this->demanded.erase(fingerprint);
    this->suspects.erase(fingerprint);
}

void crash_registry::merge(const request_fingerprint& fingerprint, reported_suspect& known,
                           const crash_record& crash, time_point now) {
    if (!known.history.record(crash, now, this->limits)) {
        return;
    }
    this->suspects.index_targets(fingerprint);
    if (this->is_authorized && known.state >= suspect_state::restricted) {
        this->unsent.insert(fingerprint);
    }
    const std::pair target(crash.target, crash.incarnation);
    if (crash.status != crash_status::proven || this->ended_targets.contains(target)) {
        return;
    }
    if (this->ended_targets.size() >= max_ended_targets) {
        this->ended_targets.clear();
    }
    this->ended_targets.insert(target);
    ++this->targets_ended;
}

void crash_registry::on(const instance_id& sender, const crash_report& report, time_point now) {
    if (report.crash.status == crash_status::withdrawn &&
        this->suspects.find(report.fingerprint) == nullptr) {
        return;
    }
    reported_suspect& known = this->find_or_add(report.fingerprint);
    this->merge(report.fingerprint, known, report.crash, now);
    this->refresh(report.fingerprint, known, sender, now);
    if (report.crash.status != crash_status::suspected) {
        this->apply_to_suspects(report.crash, sender, now);
    }
}

void crash_registry::apply_to_suspects(const crash_record& crash, const instance_id& source,
                                       time_point now) {
    for (const request_fingerprint& fingerprint :
         this->suspects.suspects_of(crash.target, crash.incarnation)) {
        reported_suspect* known = this->suspects.find(fingerprint);
        if (known == nullptr ||
            !known->history.set_status(crash.target, crash.incarnation, crash.status)) {
            continue;
        }
        if (this->is_authorized && known->state >= suspect_state::restricted) {
            this->unsent.insert(fingerprint);
        }
        this->refresh(fingerprint, *known, source, now);
    }
}

void crash_registry::on(const instance_id& sender, const completion_report& report,
                        time_point now) {
    reported_suspect* known = this->suspects.find(report.fingerprint);
    if (known == nullptr) {
        return;
    }
    const time_point completed_at = now - report.age;
    const auto first = known->history.first_at();
    known->history.clear(completed_at);
    if (first && *first <= completed_at) {
        known->late_trials = 0;
        known->last_trial_at.reset();
        known->copies.clear();
    }
    if (known->history.count() == 0) {
        known->trial.reset();
        known->demands.clear();
        this->demanded.erase(report.fingerprint);
    }
    this->refresh(report.fingerprint, *known, sender, now);
}

void crash_registry::on(const instance_id& sender, const copy_report& report, time_point now) {
    reported_suspect* known = this->suspects.find(report.fingerprint);
    if (known == nullptr) {
        return;
    }
    if (report.running > 0) {
        known->copies.insert_or_assign(sender, now + this->limits.copy_lease);
    } else {
        known->copies.erase(sender);
    }
    this->refresh(report.fingerprint, *known, sender, now);
}

void crash_registry::on(const instance_id& sender, const suspect_update& update, time_point now) {
    reported_suspect& known = this->find_or_add(update.fingerprint);
    if (update.answered_age) {
        known.history.clear(now - *update.answered_age);
    }
    for (const crash_record& crash : update.latest) {
        this->merge(update.fingerprint, known, crash, now);
    }
    const bool has_crashes = known.history.count() > 0;
    if (has_crashes && update.late_trials > known.late_trials) {
        known.late_trials = update.late_trials;
        this->unsent.insert(update.fingerprint);
    }
    if (has_crashes && update.last_trial_age) {
        const time_point at = now - *update.last_trial_age;
        known.last_trial_at = std::max(known.last_trial_at.value_or(at), at);
    }
    this->refresh(update.fingerprint, known, sender, now);
    if (this->is_authorized && !has_crashes && update.crashes > 0) {
        // The request was cleared while the sender was not connected.
        this->outgoing.push_back(
            {sender, known.make_update(update.fingerprint, now, this->limits)});
    }
}

void crash_registry::refresh(const request_fingerprint& fingerprint, reported_suspect& known,
                             const instance_id& source, time_point now) {
    const suspect_state before = known.state;
    const std::size_t crashes_before = known.counted_crashes;
    known.state = this->suspects.evaluate(fingerprint);
    known.counted_crashes = known.history.count();
    if (known.state == before && known.counted_crashes == crashes_before) {
        return;
    }
    if (this->is_authorized && std::max(known.state, before) >= suspect_state::restricted) {
        this->unsent.insert(fingerprint);
    }
    if (known.state != before) {
        known.has_refused = false;
        if (before == suspect_state::cleared) {
            known.suspected_at = known.history.first_at();
            this->add_event(quarantine_transition::suspected, fingerprint, known,
                            known.counted_crashes, source, now);
        }
        if (known.state == suspect_state::quarantined) {
            this->add_event(quarantine_transition::confirmed, fingerprint, known,
                            known.counted_crashes, source, now);
        }
        if (known.state == suspect_state::cleared) {
            const bool is_expired = source.value().empty();
            this->add_event(is_expired ? quarantine_transition::expired
                                       : quarantine_transition::cleared,
                            fingerprint, known, crashes_before, source, now);
        }
    }
    if (known.counted_crashes != crashes_before) {
        this->refresh_related(fingerprint, source, now);
    }
}

void crash_registry::refresh_related(const request_fingerprint& fingerprint,
                                     const instance_id& source, time_point now) {
    // Only the state of the others can change, not their crashes, so this does not recur.
    for (const request_fingerprint& other : this->suspects.related(fingerprint)) {
        reported_suspect& known = this->suspects.at(other);
        if (known.history.count() >= crashes_until_quarantine) {
            this->refresh(other, known, source, now);
        }
    }
}

void crash_registry::add_event(quarantine_transition transition,
                               const request_fingerprint& fingerprint,
                               const reported_suspect& known, std::size_t crashes,
                               const instance_id& source, time_point now) {
    const duration age = known.suspected_at ? now - *known.suspected_at : duration::zero();
    this->events.push_back({transition, fingerprint, crashes, source, age});
}

void crash_registry::expire(time_point now) {
    if (now - this->collected_at < expiry_interval) {
        return;
    }
    this->collected_at = now;
    std::vector<request_fingerprint> expired;
    for (auto& [fingerprint, known] : this->suspects) {
        known.expire(now, this->limits);
        if (known.demands.empty()) {
            this->demanded.erase(fingerprint);
        }
        this->refresh(fingerprint, known, instance_id(), now);
        const auto cleared_at = known.history.cleared_at();
        const bool is_remembered = cleared_at && *cleared_at + this->limits.cleared_lifetime > now;
        if (known.state == suspect_state::cleared && !is_remembered && !known.trial &&
            !this->unsent.contains(fingerprint)) {
            expired.push_back(fingerprint);
        }
    }
    for (const request_fingerprint& fingerprint : expired) {
        this->erase(fingerprint);
    }
    this->suspects.expire_targets();
}

std::vector<quarantine_event> crash_registry::take_events() {
    return std::exchange(this->events, {});
}

quarantine_counts crash_registry::counts() const {
    quarantine_counts counts;
    for (const auto& [fingerprint, known] : this->suspects) {
        counts.suspects += known.state == suspect_state::cleared ? 0 : 1;
        counts.quarantined += known.state == suspect_state::quarantined ? 1 : 0;
    }
    counts.targets_ended = this->targets_ended;
    counts.trials = this->trials;
    return counts;
}

suspect_state crash_registry::state_of(const request_fingerprint& fingerprint) const {
    const reported_suspect* known = this->suspects.find(fingerprint);
    return known == nullptr ? suspect_state::cleared : known->state;
}

} // namespace kingcupcart::quarantine
