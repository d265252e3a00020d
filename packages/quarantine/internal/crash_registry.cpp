#include "quarantine/crash_registry.h"

#include <algorithm>
#include <tuple>
#include <variant>

namespace kingcupcart::quarantine {

namespace {

/// Shortest time between two searches for what has expired.
constexpr duration expiry_interval = std::chrono::milliseconds(10);
/// While demands or updates are pending, `collect` is called at this interval.
constexpr duration collect_interval = std::chrono::milliseconds(50);
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
    for (auto& [fingerprint, known] : this->entries) {
        known.trial.reset();
        known.demands.clear();
        if (authorized && known.state >= suspect_state::restricted) {
            this->unsent.insert(fingerprint);
        }
    }
}

void crash_registry::remove_sender(const instance_id& sender, time_point now) {
    for (auto& [fingerprint, known] : this->entries) {
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

crash_registry::entry& crash_registry::find_or_add(const request_fingerprint& fingerprint,
                                                   time_point now) {
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        return found->second;
    }
    this->drop_surplus(now);
    return this->entries[fingerprint];
}

void crash_registry::merge(const request_fingerprint& fingerprint, entry& known,
                           const crash_record& crash, time_point now) {
    if (!known.history.record(crash, now, this->limits)) {
        return;
    }
    this->index(fingerprint, known);
    if (this->is_authorized && known.state >= suspect_state::restricted) {
        this->unsent.insert(fingerprint);
    }
    const target_key key{crash.target, crash.incarnation};
    if (crash.status != crash_status::proven || this->ended_targets.contains(key)) {
        return;
    }
    if (this->ended_targets.size() >= max_ended_targets) {
        this->ended_targets.clear();
    }
    this->ended_targets.insert(key);
    ++this->targets_ended;
}

void crash_registry::index(const request_fingerprint& fingerprint, const entry& known) {
    for (const crash_history::crash& crash : known.history.crashes()) {
        this->by_target[{crash.target, crash.incarnation}].insert(fingerprint);
    }
}

void crash_registry::on(const instance_id& sender, const crash_report& report, time_point now) {
    const auto existing = this->entries.find(report.fingerprint);
    if (report.crash.status == crash_status::withdrawn && existing == this->entries.end()) {
        return;
    }
    entry& known = this->find_or_add(report.fingerprint, now);
    this->merge(report.fingerprint, known, report.crash, now);
    this->refresh(report.fingerprint, known, sender, now);
    if (report.crash.status == crash_status::suspected) {
        return;
    }
    // Whether the target has ended is the same for all requests that it ran.
    const auto sharers = this->by_target.find({report.crash.target, report.crash.incarnation});
    if (sharers == this->by_target.end()) {
        return;
    }
    const std::set<request_fingerprint> others = sharers->second;
    for (const request_fingerprint& other : others) {
        const auto found = this->entries.find(other);
        if (found == this->entries.end()) {
            continue;
        }
        entry& affected = found->second;
        if (affected.history.set_status(report.crash.target, report.crash.incarnation,
                                        report.crash.status)) {
            if (this->is_authorized && affected.state >= suspect_state::restricted) {
                this->unsent.insert(other);
            }
            this->refresh(other, affected, sender, now);
        }
    }
}

void crash_registry::on(const instance_id& sender, const completion_report& report,
                        time_point now) {
    const auto found = this->entries.find(report.fingerprint);
    if (found == this->entries.end()) {
        return;
    }
    entry& known = found->second;
    const time_point completed_at = now - report.age;
    const auto first = known.history.first_at();
    known.history.clear(completed_at);
    if (first && *first <= completed_at) {
        known.late_trials = 0;
        known.last_trial_at.reset();
        known.copies.clear();
    }
    if (known.history.count() == 0) {
        known.trial.reset();
        known.demands.clear();
        this->demanded.erase(report.fingerprint);
    }
    this->refresh(report.fingerprint, known, sender, now);
}

void crash_registry::on(const instance_id& sender, const trial_demand& demand, time_point now) {
    const auto found = this->entries.find(demand.fingerprint);
    if (!this->is_authorized) {
        return;
    }
    if (demand.is_withdrawn) {
        if (found != this->entries.end()) {
            found->second.demands.erase(sender);
        }
        return;
    }
    if (found == this->entries.end() || found->second.state < suspect_state::restricted) {
        if (now - this->authorized_at >= this->limits.settle_time) {
            // The sender holds on to what is over.
            suspect_update update;
            update.fingerprint = demand.fingerprint;
            update.state = suspect_state::cleared;
            this->outgoing.push_back({sender, update});
        }
        return;
    }
    entry& known = found->second;
    trial_decision decision{demand.fingerprint, demand.number, trial_verdict::waiting, {}};
    const time_point due = this->next_trial_at(known);
    if (known.state == suspect_state::quarantined && due > now) {
        decision.verdict = trial_verdict::refused;
        decision.retry_after = due == time_point::max() ? this->limits.crash_lifetime : due - now;
        known.demands.erase(sender);
        if (!known.has_refused) {
            known.has_refused = true;
            this->add_event(quarantine_transition::refused, demand.fingerprint, known,
                            known.history.count(), sender, now);
        }
    } else {
        const auto [position, is_new] = known.demands.try_emplace(sender);
        demand_state& state = position->second;
        state.first_received_at = is_new ? now : state.first_received_at;
        state.number = std::max(state.number, demand.number);
        state.received_at = now;
        this->demanded.insert(demand.fingerprint);
    }
    this->outgoing.push_back({sender, decision});
}

void crash_registry::on(const instance_id& sender, const trial_end& ended, time_point now) {
    const auto found = this->entries.find(ended.fingerprint);
    if (found == this->entries.end()) {
        return;
    }
    entry& known = found->second;
    if (!known.trial || known.trial->sender != sender || known.trial->number != ended.number) {
        return;
    }
    if (ended.outcome == trial_outcome::unused && known.trial->is_late) {
        --known.late_trials;
        known.last_trial_at = known.trial->previous_trial_at;
        this->unsent.insert(ended.fingerprint);
    }
    known.trial.reset();
    this->refresh(ended.fingerprint, known, sender, now);
}

void crash_registry::on(const instance_id& sender, const copy_report& report, time_point now) {
    const auto found = this->entries.find(report.fingerprint);
    if (found == this->entries.end()) {
        return;
    }
    entry& known = found->second;
    if (report.running > 0) {
        known.copies.insert_or_assign(sender, now + this->limits.copy_lease);
    } else {
        known.copies.erase(sender);
    }
    this->refresh(report.fingerprint, known, sender, now);
}

void crash_registry::on(const instance_id& sender, const suspect_update& update, time_point now) {
    entry& known = this->find_or_add(update.fingerprint, now);
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
        this->outgoing.push_back({sender, this->make_update(update.fingerprint, known, now)});
    }
}

std::set<request_fingerprint> crash_registry::related(const request_fingerprint& fingerprint,
                                                      const entry& known) const {
    std::set<request_fingerprint> others;
    for (const crash_history::crash& crash : known.history.crashes()) {
        const auto sharers = this->by_target.find({crash.target, crash.incarnation});
        if (crash.status == crash_status::withdrawn || sharers == this->by_target.end()) {
            continue;
        }
        for (const request_fingerprint& other : sharers->second) {
            const auto found = this->entries.find(other);
            if (found != this->entries.end() &&
                found->second.history.contains(crash.target, crash.incarnation)) {
                others.insert(other);
            }
        }
    }
    others.erase(fingerprint);
    return others;
}

bool crash_registry::is_confirmed(const request_fingerprint& fingerprint,
                                  const entry& known) const {
    const std::size_t count = known.history.count();
    const auto has_other_cause = [&](const crash_history::crash& crash) {
        const auto sharers = this->by_target.find({crash.target, crash.incarnation});
        return sharers != this->by_target.end() &&
               std::any_of(sharers->second.begin(), sharers->second.end(), [&](const auto& other) {
                   const auto found = this->entries.find(other);
                   return other != fingerprint && found != this->entries.end() &&
                          found->second.history.contains(crash.target, crash.incarnation) &&
                          found->second.history.count() >= count;
               });
    };
    const auto& crashes = known.history.crashes();
    return std::any_of(crashes.begin(), crashes.end(), [&](const crash_history::crash& crash) {
        return crash.is_trial && crash.status != crash_status::withdrawn && !has_other_cause(crash);
    });
}

suspect_state crash_registry::evaluate(const request_fingerprint& fingerprint,
                                       const entry& known) const {
    const std::size_t count = known.history.count();
    if (count == 0) {
        return suspect_state::cleared;
    }
    if (count < crashes_until_trials) {
        return suspect_state::suspected;
    }
    if (count < crashes_until_quarantine) {
        return suspect_state::restricted;
    }
    const bool is_over = known.late_trials >= max_late_trials && !known.trial;
    const bool is_confirmed = this->is_confirmed(fingerprint, known) && known.copies.empty();
    return is_over || is_confirmed ? suspect_state::quarantined : suspect_state::unconfirmed;
}

void crash_registry::refresh(const request_fingerprint& fingerprint, entry& known,
                             const instance_id& source, time_point now) {
    const suspect_state before = known.state;
    const std::size_t crashes_before = known.known_crashes;
    known.state = this->evaluate(fingerprint, known);
    known.known_crashes = known.history.count();
    if (known.state == before && known.known_crashes == crashes_before) {
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
                            known.known_crashes, source, now);
        }
        if (known.state == suspect_state::quarantined) {
            this->add_event(quarantine_transition::confirmed, fingerprint, known,
                            known.known_crashes, source, now);
        }
        if (known.state == suspect_state::cleared) {
            const bool is_expired = source.value().empty();
            this->add_event(is_expired ? quarantine_transition::expired
                                       : quarantine_transition::cleared,
                            fingerprint, known, crashes_before, source, now);
        }
    }
    if (known.known_crashes != crashes_before) {
        this->refresh_related(fingerprint, source, now);
    }
}

void crash_registry::refresh_related(const request_fingerprint& fingerprint,
                                     const instance_id& source, time_point now) {
    // Only the state of the others can change, not their crashes, so this does not recur.
    for (const request_fingerprint& other :
         this->related(fingerprint, this->entries.at(fingerprint))) {
        const auto found = this->entries.find(other);
        if (found != this->entries.end() &&
            found->second.history.count() >= crashes_until_quarantine) {
            this->refresh(other, found->second, source, now);
        }
    }
}

time_point crash_registry::next_trial_at(const entry& known) const {
    if (known.late_trials >= max_late_trials) {
        return time_point::max();
    }
    if (known.state != suspect_state::quarantined) {
        return time_point::min();
    }
    const time_point last_crash = known.history.last_at().value_or(time_point::min());
    const time_point last = std::max(last_crash, known.last_trial_at.value_or(last_crash));
    return last + this->limits.trial_delays.at(known.late_trials);
}

bool crash_registry::shares_targets_with_trial(const request_fingerprint& fingerprint,
                                               const entry& known, time_point now) const {
    bool has_trial = false;
    for (const request_fingerprint& other : this->related(fingerprint, known)) {
        const entry& sharer = this->entries.at(other);
        if (sharer.state == suspect_state::quarantined) {
            // The cause is known.
            return false;
        }
        has_trial = has_trial ||
                    (sharer.trial && now - sharer.trial->granted_at < this->limits.isolation_time);
    }
    return has_trial;
}

bool crash_registry::may_grant(const request_fingerprint& fingerprint, const entry& known,
                               time_point now) const {
    if (known.trial || known.demands.empty() || known.state < suspect_state::restricted ||
        now < this->next_trial_at(known)) {
        return false;
    }
    const auto oldest = std::min_element(
        known.demands.begin(), known.demands.end(), [](const auto& a, const auto& b) {
            return a.second.first_received_at < b.second.first_received_at;
        });
    const bool awaits_copies =
        !known.copies.empty() && now - oldest->second.first_received_at < this->limits.copy_wait;
    return !awaits_copies && !this->shares_targets_with_trial(fingerprint, known, now);
}

std::vector<addressed_message> crash_registry::grant_trials(time_point now) {
    std::vector<addressed_message> grants;
    if (now - this->authorized_at < this->limits.settle_time) {
        return grants;
    }
    std::vector<std::tuple<time_point, instance_id, request_fingerprint>> turns;
    for (const request_fingerprint& fingerprint : this->demanded) {
        for (const auto& [sender, demand] : this->entries.at(fingerprint).demands) {
            turns.emplace_back(demand.first_received_at, sender, fingerprint);
        }
    }
    std::sort(turns.begin(), turns.end());
    for (const auto& [since, sender, fingerprint] : turns) {
        entry& known = this->entries.at(fingerprint);
        if (!this->may_grant(fingerprint, known, now)) {
            continue;
        }
        const std::uint64_t number = known.demands.at(sender).number;
        const auto third = known.history.quarantined_at();
        const bool is_late = third && now - *third >= this->limits.free_trial_time;
        known.trial = running_trial{sender, number, now, is_late, known.last_trial_at};
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

suspect_update crash_registry::make_update(const request_fingerprint& fingerprint,
                                           const entry& known, time_point now) const {
    suspect_update update;
    update.fingerprint = fingerprint;
    update.state = known.state;
    update.crashes = static_cast<std::uint32_t>(known.history.count());
    update.latest = known.history.latest(this->limits.max_reported_crashes, now);
    update.late_trials = known.late_trials;
    if (known.last_trial_at) {
        update.last_trial_age = now - *known.last_trial_at;
    }
    const time_point due = this->next_trial_at(known);
    update.next_trial_in = due == time_point::max()
                               ? this->limits.crash_lifetime
                               : std::max(duration::zero(), std::max(due, now) - now);
    update.answered_age = known.history.answered_age(now);
    return update;
}

void crash_registry::send_updates(time_point now, std::vector<addressed_message>& messages) {
    const double elapsed =
        this->tokens_at ? std::chrono::duration<double>(now - *this->tokens_at).count() : 0;
    this->update_tokens =
        this->tokens_at ? std::min(this->limits.update_burst,
                                   this->update_tokens + elapsed * this->limits.updates_per_second)
                        : this->limits.update_burst;
    this->tokens_at = now;
    for (const bool is_quarantine : {true, false}) {
        for (auto next = this->unsent.begin();
             next != this->unsent.end() && this->update_tokens >= 1;) {
            const auto found = this->entries.find(*next);
            if (found == this->entries.end()) {
                next = this->unsent.erase(next);
                continue;
            }
            if (is_quarantine && found->second.state < suspect_state::unconfirmed) {
                ++next;
                continue;
            }
            messages.push_back({std::nullopt, this->make_update(*next, found->second, now)});
            this->update_tokens -= 1;
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
        for (const auto& [fingerprint, known] : this->entries) {
            if (known.state == wanted && updates.size() < this->limits.max_initial_messages) {
                updates.push_back(this->make_update(fingerprint, known, now));
            }
        }
    }
    return updates;
}

void crash_registry::expire(time_point now) {
    if (now - this->collected_at < expiry_interval) {
        return;
    }
    this->collected_at = now;
    std::vector<request_fingerprint> over;
    for (auto& [fingerprint, known] : this->entries) {
        if (known.trial && now - known.trial->granted_at >= this->limits.trial_lease) {
            known.trial.reset();
        }
        std::erase_if(known.demands, [&](const auto& demand) {
            return now - demand.second.received_at >= this->limits.demand_timeout;
        });
        std::erase_if(known.copies, [&](const auto& copies) { return copies.second <= now; });
        if (known.demands.empty()) {
            this->demanded.erase(fingerprint);
        }
        known.history.expire(now, this->limits);
        this->refresh(fingerprint, known, instance_id(), now);
        const auto cleared_at = known.history.cleared_at();
        const bool is_remembered = cleared_at && *cleared_at + this->limits.cleared_lifetime > now;
        if (known.state == suspect_state::cleared && !is_remembered && !known.trial &&
            !this->unsent.contains(fingerprint)) {
            over.push_back(fingerprint);
        }
    }
    for (const request_fingerprint& fingerprint : over) {
        this->erase(fingerprint);
    }
    for (auto target = this->by_target.begin(); target != this->by_target.end();) {
        std::erase_if(target->second, [&](const request_fingerprint& suspect) {
            const auto known = this->entries.find(suspect);
            return known == this->entries.end() ||
                   !known->second.history.contains(target->first.first, target->first.second);
        });
        target = target->second.empty() ? this->by_target.erase(target) : std::next(target);
    }
}

void crash_registry::erase(const request_fingerprint& fingerprint) {
    const auto found = this->entries.find(fingerprint);
    for (const crash_history::crash& crash : found->second.history.crashes()) {
        const auto target = this->by_target.find({crash.target, crash.incarnation});
        if (target != this->by_target.end()) {
            target->second.erase(fingerprint);
            if (target->second.empty()) {
                this->by_target.erase(target);
            }
        }
    }
    this->unsent.erase(fingerprint);
    this->demanded.erase(fingerprint);
    this->entries.erase(found);
}

void crash_registry::drop_surplus(time_point /*now*/) {
    if (this->entries.size() < this->limits.max_entries) {
        return;
    }
    const auto rank = [](const auto& element) {
        const entry& known = element.second;
        return std::tuple(known.state, known.history.last_at().value_or(time_point::min()));
    };
    const auto dropped =
        std::min_element(this->entries.begin(), this->entries.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    this->erase(dropped->first);
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
    for (const auto& [fingerprint, known] : this->entries) {
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

std::vector<quarantine_event> crash_registry::take_events() {
    return std::exchange(this->events, {});
}

void crash_registry::add_event(quarantine_transition transition,
                               const request_fingerprint& fingerprint, const entry& known,
                               std::size_t crashes, const instance_id& source, time_point now) {
    const duration age = known.suspected_at ? now - *known.suspected_at : duration::zero();
    this->events.push_back({transition, fingerprint, crashes, source, age});
}

quarantine_counts crash_registry::counts() const {
    quarantine_counts counts;
    for (const auto& [fingerprint, known] : this->entries) {
        counts.suspects += known.state == suspect_state::cleared ? 0 : 1;
        counts.quarantined += known.state == suspect_state::quarantined ? 1 : 0;
    }
    counts.targets_ended = this->targets_ended;
    counts.trials = this->trials;
    return counts;
}

suspect_state crash_registry::state_of(const request_fingerprint& fingerprint) const {
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? suspect_state::cleared : found->second.state;
}

} // namespace kingcupcart::quarantine
