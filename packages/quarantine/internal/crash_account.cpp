#include "quarantine/crash_account.h"

#include <algorithm>
#include <tuple>

namespace kingcupcart::quarantine {

namespace {

/// Shortest delay after which an account repeats a demand for a trial that was refused.
constexpr duration min_refusal = std::chrono::seconds(1);
/// Shortest time between two searches for what has expired.
constexpr duration expiry_interval = std::chrono::milliseconds(10);

} // namespace

const crash_account::entry* crash_account::find(const request_fingerprint& fingerprint) const {
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? nullptr : &found->second;
}

std::size_t crash_account::crashes_of(const entry& known) {
    const std::size_t seen = known.history.count();
    if (seen >= known.known_at_update) {
        return known.updated_crashes + (seen - known.known_at_update);
    }
    const std::size_t withdrawn = known.known_at_update - seen;
    return known.updated_crashes > withdrawn ? known.updated_crashes - withdrawn : 0;
}

suspect_state crash_account::state_of(const entry& known) {
    const std::size_t crashes = crashes_of(known);
    if (crashes == 0) {
        return suspect_state::cleared;
    }
    if (crashes < crashes_until_trials) {
        return suspect_state::suspected;
    }
    if (crashes < crashes_until_quarantine) {
        return suspect_state::restricted;
    }
    return known.state == suspect_state::quarantined ? suspect_state::quarantined
                                                     : suspect_state::unconfirmed;
}

std::size_t crash_account::crashes(const request_fingerprint& fingerprint) const {
    const entry* known = this->find(fingerprint);
    return known == nullptr ? 0 : crashes_of(*known);
}

std::size_t crash_account::suspects() const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(),
                      [](const auto& known) { return crashes_of(known.second) > 0; }));
}

std::size_t crash_account::quarantined(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->entries.begin(), this->entries.end(), [&](const auto& known) {
            return this->decide(known.first, now).permission == send_permission::refused;
        }));
}

bool crash_account::has_lost_leader(const entry& known, time_point now) const {
    return known.unanswered_since && now - *known.unanswered_since >= this->limits.leader_timeout;
}

bool crash_account::has_grant(const entry& known, time_point now) const {
    return known.trial && !known.trial->attempt && now < known.trial->expires;
}

bool crash_account::may_take_own_trial(const entry& known, time_point now) const {
    return state_of(known) == suspect_state::restricted && this->has_lost_leader(known, now) &&
           !known.used_own_trial && !known.trial && known.lone.empty();
}

bool crash_account::wants_trial(const entry& known, time_point now) const {
    const suspect_state state = state_of(known);
    if (known.waiting == 0 || known.trial || state < suspect_state::restricted) {
        return false;
    }
    return state != suspect_state::quarantined || now >= known.next_trial_at;
}

send_decision crash_account::decide(const request_fingerprint& fingerprint, time_point now) const {
    const entry* known = this->find(fingerprint);
    if (known == nullptr) {
        return {};
    }
    switch (state_of(*known)) {
    case suspect_state::cleared:
        return {};
    case suspect_state::suspected:
        return {known->lone.empty() ? send_permission::alone : send_permission::wait};
    case suspect_state::restricted:
    case suspect_state::unconfirmed:
        return {this->has_grant(*known, now) || this->may_take_own_trial(*known, now)
                    ? send_permission::trial
                    : send_permission::wait};
    case suspect_state::quarantined:
        break;
    }
    if (this->has_grant(*known, now)) {
        return {send_permission::trial};
    }
    const bool awaits_end = known->trial.has_value() || !known->copies.empty();
    const bool is_due = now >= known->next_trial_at && !this->has_lost_leader(*known, now);
    if (awaits_end || is_due) {
        return {send_permission::wait};
    }
    const duration wait = known->next_trial_at - now;
    const bool is_soon = wait > duration::zero() && wait <= this->limits.max_retry_after;
    return {send_permission::refused, is_soon ? wait : duration::zero()};
}

bool crash_account::is_free(const request_fingerprint& fingerprint, time_point /*now*/) const {
    const entry* known = this->find(fingerprint);
    return known == nullptr || crashes_of(*known) == 0;
}

void crash_account::add_waiting(const request_fingerprint& fingerprint) {
    ++this->suspect(fingerprint).waiting;
    this->awaited.insert(fingerprint);
}

void crash_account::remove_waiting(const request_fingerprint& fingerprint) {
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

void crash_account::note_change(const request_fingerprint& fingerprint, const entry& known) {
    if (known.waiting > 0) {
        this->changed.insert(fingerprint);
    }
}

crash_account::entry& crash_account::suspect(const request_fingerprint& fingerprint) {
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        return found->second;
    }
    this->drop_surplus();
    entry& known = this->entries[fingerprint];
    const auto copies = this->running.find(fingerprint);
    if (copies != this->running.end()) {
        known.copies = copies->second;
    }
    return known;
}

void crash_account::begin(attempt_id attempt, const request_fingerprint& fingerprint,
                          const target_id& target, incarnation_id incarnation, time_point now) {
    running_attempt started{fingerprint, target, incarnation, now};
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && crashes_of(found->second) > 0) {
        entry& known = found->second;
        if (this->has_grant(known, now)) {
            known.trial->attempt = attempt;
            started.is_trial = true;
        } else if (this->may_take_own_trial(known, now)) {
            known.used_own_trial = true;
            known.trial = grant{0, now, attempt, true};
            started.is_trial = true;
        }
        known.lone.insert(attempt);
    } else if (found != this->entries.end()) {
        found->second.copies.insert(attempt);
    }
    this->running[fingerprint].insert(attempt);
    this->attempts.insert_or_assign(attempt, started);
}

void crash_account::end(attempt_id attempt, attempt_end how, time_point now) {
    const auto ended = this->attempts.find(attempt);
    if (ended == this->attempts.end()) {
        return;
    }
    const running_attempt finished = ended->second;
    const request_fingerprint& fingerprint = finished.fingerprint;
    this->attempts.erase(ended);
    const auto copies = this->running.find(fingerprint);
    copies->second.erase(attempt);
    if (copies->second.empty()) {
        this->running.erase(copies);
    }
    if (how == attempt_end::completed) {
        this->remember_completion(fingerprint, now);
    }
    if (how == attempt_end::disconnected) {
        entry& known = this->suspect(fingerprint);
        const crash_record crash{finished.target, finished.incarnation, crash_status::suspected,
                                 finished.is_trial, duration::zero()};
        known.history.record(crash, now, this->limits);
        unproven_state& target = this->unproven[{finished.target, finished.incarnation}];
        target.since = target.suspects.empty() ? now : target.since;
        target.suspects.insert(fingerprint);
        this->outgoing.emplace_back(crash_report{fingerprint, crash});
        this->apply_completion(fingerprint, known, now);
    }
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) {
        return;
    }
    entry& known = found->second;
    known.lone.erase(attempt);
    known.copies.erase(attempt);
    const bool is_cleared = how == attempt_end::completed && crashes_of(known) > 0;
    if (is_cleared) {
        this->outgoing.emplace_back(completion_report{fingerprint, duration::zero()});
    }
    if (known.trial && known.trial->attempt == attempt) {
        const bool is_complete = how == attempt_end::completed;
        const bool is_crash = how == attempt_end::disconnected;
        this->end_trial(fingerprint, known,
                        is_complete ? trial_outcome::completed
                        : is_crash  ? trial_outcome::crashed
                                    : trial_outcome::unclear);
    }
    if (is_cleared) {
        this->clear(fingerprint, known, now);
    } else {
        this->report_copies(fingerprint, known);
    }
    this->note_change(fingerprint, known);
    this->erase_if_idle(fingerprint);
}

void crash_account::end_trial(const request_fingerprint& fingerprint, entry& known,
                              trial_outcome outcome) {
    if (!known.trial->is_own) {
        this->outgoing.emplace_back(trial_end{fingerprint, known.trial->number, outcome});
    }
    known.trial.reset();
}

void crash_account::clear(const request_fingerprint& fingerprint, entry& known,
                          time_point completed_at) {
    known.history.clear(completed_at);
    this->apply_clearance(fingerprint, known);
}

void crash_account::apply_clearance(const request_fingerprint& fingerprint, entry& known) {
    known.updated_crashes = known.history.count();
    known.known_at_update = known.updated_crashes;
    if (known.updated_crashes > 0) {
        this->note_change(fingerprint, known);
        return;
    }
    for (auto target = this->unproven.begin(); target != this->unproven.end();) {
        target->second.suspects.erase(fingerprint);
        target = target->second.suspects.empty() ? this->unproven.erase(target) : std::next(target);
    }
    known.state = suspect_state::cleared;
    known.late_trials = 0;
    known.last_trial_at.reset();
    known.next_trial_at = {};
    known.reported_copies = 0;
    known.copies.insert(known.lone.begin(), known.lone.end());
    known.lone.clear();
    if (known.trial) {
        this->end_trial(fingerprint, known,
                        known.trial->attempt ? trial_outcome::unclear : trial_outcome::unused);
    }
    this->note_change(fingerprint, known);
}

void crash_account::remember_completion(const request_fingerprint& fingerprint, time_point now) {
    this->completions.insert_or_assign(fingerprint, now);
    this->completions_by_age.emplace_back(now, fingerprint);
    while (!this->completions_by_age.empty() &&
           (this->completions_by_age.size() > this->limits.max_completions ||
            this->completions_by_age.front().first + answered_lifetime <= now)) {
        const auto [at, oldest] = this->completions_by_age.front();
        this->completions_by_age.pop_front();
        const auto known = this->completions.find(oldest);
        if (known != this->completions.end() && known->second == at) {
            this->completions.erase(known);
        }
    }
}

void crash_account::apply_completion(const request_fingerprint& fingerprint, entry& known,
                                     time_point now) {
    const auto completion = this->completions.find(fingerprint);
    const auto first = known.history.first_at();
    if (completion == this->completions.end() || !first ||
        *first - completion->second > answered_lifetime ||
        known.reported_completion == completion->second) {
        return;
    }
    known.reported_completion = completion->second;
    this->outgoing.emplace_back(completion_report{fingerprint, now - completion->second});
    this->clear(fingerprint, known, completion->second);
}

void crash_account::record_target_ended(const target_id& target, incarnation_id incarnation,
                                        time_point now) {
    this->set_status(target, incarnation, crash_status::proven, now);
}

void crash_account::record_target_alive(const target_id& target, incarnation_id incarnation,
                                        time_point now) {
    this->set_status(target, incarnation, crash_status::withdrawn, now);
}

void crash_account::set_status(const target_id& target, incarnation_id incarnation,
                               crash_status status, time_point now) {
    const auto found = this->unproven.find({target, incarnation});
    if (found == this->unproven.end()) {
        return;
    }
    const duration age =
        status == crash_status::withdrawn ? duration::zero() : now - found->second.since;
    const std::set<request_fingerprint> suspects = found->second.suspects;
    this->unproven.erase(found);
    for (const request_fingerprint& fingerprint : suspects) {
        const auto suspect = this->entries.find(fingerprint);
        if (suspect == this->entries.end() ||
            !suspect->second.history.set_status(target, incarnation, status)) {
            continue;
        }
        this->outgoing.emplace_back(
            crash_report{fingerprint, {target, incarnation, status, false, age}});
        this->note_change(fingerprint, suspect->second);
        this->erase_if_idle(fingerprint);
    }
}

std::vector<checked_target> crash_account::unproven_targets() const {
    std::vector<checked_target> targets;
    targets.reserve(this->unproven.size());
    for (const auto& [key, state] : this->unproven) {
        targets.push_back({key.first, key.second, state.since});
    }
    return targets;
}

void crash_account::handle(const suspect_update& update, time_point now) {
    if (update.state == suspect_state::cleared) {
        const auto found = this->entries.find(update.fingerprint);
        if (found != this->entries.end()) {
            entry& known = found->second;
            known.history.forget();
            if (update.answered_age) {
                known.history.clear(now - *update.answered_age);
            }
            this->apply_clearance(update.fingerprint, known);
            this->erase_if_idle(update.fingerprint);
        }
        return;
    }
    entry& known = this->suspect(update.fingerprint);
    if (update.answered_age) {
        known.history.clear(now - *update.answered_age);
    }
    for (const crash_record& crash : update.latest) {
        known.history.record(crash, now, this->limits);
    }
    known.state = update.state;
    known.updated_crashes = update.crashes;
    known.known_at_update = known.history.count();
    known.late_trials = update.late_trials;
    if (update.last_trial_age) {
        known.last_trial_at = now - *update.last_trial_age;
    }
    known.next_trial_at = now + update.next_trial_in;
    known.used_own_trial = false;
    this->apply_completion(update.fingerprint, known, now);
    this->report_copies(update.fingerprint, known);
    this->note_change(update.fingerprint, known);
    this->erase_if_idle(update.fingerprint);
}

void crash_account::handle(const trial_decision& decision, time_point now) {
    const auto found = this->entries.find(decision.fingerprint);
    if (found == this->entries.end()) {
        if (decision.verdict == trial_verdict::granted) {
            this->outgoing.emplace_back(
                trial_end{decision.fingerprint, decision.demand, trial_outcome::unused});
        }
        return;
    }
    entry& known = found->second;
    const auto demand =
        std::find_if(known.sent_demands.begin(), known.sent_demands.end(),
                     [&](const sent_demand& sent) { return sent.number == decision.demand; });
    const bool is_current =
        demand != known.sent_demands.end() && now - demand->sent_at < this->limits.grant_lifetime;
    if (is_current) {
        known.unanswered_since.reset();
        known.used_own_trial = false;
    }
    switch (decision.verdict) {
    case trial_verdict::granted:
        if (!is_current || known.trial || crashes_of(known) < crashes_until_trials) {
            // The message was held up, or the trial is no longer needed.
            this->outgoing.emplace_back(
                trial_end{decision.fingerprint, decision.demand, trial_outcome::unused});
            return;
        }
        known.trial =
            grant{decision.demand, demand->sent_at + this->limits.grant_lifetime, {}, false};
        known.has_demand = false;
        known.sent_demands.clear();
        // All keepers have to know of the trial, in case another one leads next.
        this->outgoing.emplace_back(this->make_update(decision.fingerprint, known, now));
        break;
    case trial_verdict::waiting:
        return;
    case trial_verdict::refused:
        if (!is_current) {
            return;
        }
        known.state = suspect_state::quarantined;
        known.has_demand = false;
        known.sent_demands.clear();
        known.next_trial_at =
            std::max(known.next_trial_at, now + std::max(decision.retry_after, min_refusal));
        break;
    }
    this->note_change(decision.fingerprint, known);
}

void crash_account::report_copies(const request_fingerprint& fingerprint, entry& known) {
    if (state_of(known) < suspect_state::restricted) {
        return;
    }
    const auto copies = static_cast<std::uint32_t>(known.copies.size());
    if ((copies == 0) != (known.reported_copies == 0)) {
        this->outgoing.emplace_back(copy_report{fingerprint, copies});
        known.reported_copies = copies;
    }
}

suspect_update crash_account::make_update(const request_fingerprint& fingerprint,
                                          const entry& known, time_point now) const {
    suspect_update update;
    update.fingerprint = fingerprint;
    update.state = state_of(known);
    update.crashes = static_cast<std::uint32_t>(crashes_of(known));
    update.latest = known.history.latest(this->limits.max_reported_crashes, now);
    update.late_trials = known.late_trials;
    if (known.last_trial_at) {
        update.last_trial_age = now - *known.last_trial_at;
    }
    update.next_trial_in = std::max(duration::zero(), known.next_trial_at - now);
    update.answered_age = known.history.answered_age(now);
    return update;
}

bool crash_account::is_demand_due(const entry& known, time_point now) const {
    const bool is_wanted = this->wants_trial(known, now);
    if (is_wanted != known.has_demand) {
        return true;
    }
    return is_wanted && (known.sent_demands.empty() ||
                         now - known.sent_demands.back().sent_at >= this->limits.demand_interval);
}

void crash_account::collect_demand(const request_fingerprint& fingerprint, entry& known,
                                   time_point now, std::vector<account_message>& messages) {
    if (!this->is_demand_due(known, now) || !this->take_token(now)) {
        return;
    }
    const bool is_wanted = this->wants_trial(known, now);
    known.has_demand = is_wanted;
    const std::uint64_t number = ++this->last_demand;
    messages.emplace_back(trial_demand{fingerprint, number, !is_wanted});
    if (!is_wanted) {
        known.unanswered_since.reset();
        return;
    }
    while (!known.sent_demands.empty() &&
           now - known.sent_demands.front().sent_at >= this->limits.grant_lifetime) {
        known.sent_demands.pop_front();
    }
    known.sent_demands.push_back({number, now});
    known.unanswered_since = known.unanswered_since.value_or(now);
}

bool crash_account::take_token(time_point now) {
    const double elapsed =
        this->tokens_at ? std::chrono::duration<double>(now - *this->tokens_at).count() : 0;
    this->message_tokens =
        this->tokens_at
            ? std::min(this->limits.message_burst,
                       this->message_tokens + elapsed * this->limits.messages_per_second)
            : this->limits.message_burst;
    this->tokens_at = now;
    if (this->message_tokens < 1) {
        return false;
    }
    this->message_tokens -= 1;
    return true;
}

std::vector<account_message> crash_account::collect(time_point now) {
    this->expire(now);
    std::vector<account_message> messages;
    // Reports go first: what the leading keeper decides on a demand depends on them.
    while (!this->outgoing.empty() && this->take_token(now)) {
        messages.push_back(std::move(this->outgoing.front()));
        this->outgoing.pop_front();
    }
    for (auto awaiting = this->awaited.begin(); awaiting != this->awaited.end();) {
        const request_fingerprint fingerprint = *awaiting;
        const auto found = this->entries.find(fingerprint);
        if (found == this->entries.end()) {
            awaiting = this->awaited.erase(awaiting);
            continue;
        }
        entry& known = found->second;
        this->collect_demand(fingerprint, known, now, messages);
        if (this->has_lost_leader(known, now)) {
            this->note_change(fingerprint, known);
        }
        const bool is_done = known.waiting == 0 && !known.has_demand;
        awaiting = is_done ? this->awaited.erase(awaiting) : std::next(awaiting);
        if (is_done) {
            this->erase_if_idle(fingerprint);
        }
    }
    return messages;
}

std::vector<account_message> crash_account::initial_messages(time_point now) const {
    std::vector<account_message> messages;
    for (const suspect_state wanted : {suspect_state::quarantined, suspect_state::unconfirmed,
                                       suspect_state::restricted, suspect_state::suspected}) {
        for (const auto& [fingerprint, known] : this->entries) {
            if (state_of(known) == wanted && messages.size() < this->limits.max_initial_messages) {
                messages.emplace_back(this->make_update(fingerprint, known, now));
                if (wanted >= suspect_state::restricted && !known.copies.empty()) {
                    messages.emplace_back(
                        copy_report{fingerprint, static_cast<std::uint32_t>(known.copies.size())});
                }
            }
        }
    }
    return messages;
}

void crash_account::expire(time_point now) {
    if (this->expired_at && now - *this->expired_at < expiry_interval) {
        return;
    }
    this->expired_at = now;
    std::vector<request_fingerprint> idle;
    for (auto& [fingerprint, known] : this->entries) {
        const std::size_t before = known.history.count();
        if (known.history.expire(now, this->limits)) {
            if (known.history.count() == 0 && before > 0) {
                known.updated_crashes = 0;
                known.known_at_update = 0;
            }
            this->note_change(fingerprint, known);
        }
        if (known.trial && !known.trial->attempt &&
            (known.trial->expires <= now || known.waiting == 0)) {
            this->end_trial(fingerprint, known, trial_outcome::unused);
        }
        idle.push_back(fingerprint);
    }
    for (const request_fingerprint& fingerprint : idle) {
        this->erase_if_idle(fingerprint);
    }
    std::erase_if(this->unproven, [&](const auto& target) {
        return target.second.since + this->limits.suspicion_lifetime <= now;
    });
}

void crash_account::erase_if_idle(const request_fingerprint& fingerprint) {
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) {
        return;
    }
    const entry& known = found->second;
    if (crashes_of(known) == 0 && known.waiting == 0 && !known.trial && !known.has_demand) {
        this->entries.erase(found);
    }
}

void crash_account::drop_surplus() {
    if (this->entries.size() < this->limits.max_entries) {
        return;
    }
    const auto rank = [](const auto& element) {
        const entry& known = element.second;
        const bool is_used = known.waiting > 0 || known.trial.has_value();
        return std::tuple(is_used, state_of(known),
                          known.history.last_at().value_or(time_point::max()));
    };
    this->entries.erase(
        std::min_element(this->entries.begin(), this->entries.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

std::vector<request_fingerprint> crash_account::take_changed(time_point now) {
    this->expire(now);
    std::vector<request_fingerprint> taken(this->changed.begin(), this->changed.end());
    this->changed.clear();
    return taken;
}

std::optional<time_point> crash_account::next_wakeup() const {
    std::optional<time_point> next;
    const auto include = [&](time_point at) { next = next ? std::min(*next, at) : at; };
    if (!this->outgoing.empty()) {
        const auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(1 / this->limits.messages_per_second));
        include(this->tokens_at && this->message_tokens < 1 ? *this->tokens_at + interval
                                                            : time_point::min());
    }
    if (!this->changed.empty()) {
        include(time_point::min());
    }
    for (const auto& [fingerprint, known] : this->entries) {
        if (const auto expiry = known.history.next_expiry(this->limits)) {
            include(*expiry);
        }
        if (known.trial && !known.trial->attempt) {
            include(known.trial->expires);
        }
        if (known.waiting == 0 || known.trial || state_of(known) < suspect_state::restricted) {
            continue;
        }
        include(known.sent_demands.empty()
                    ? std::max(known.next_trial_at, this->tokens_at.value_or(time_point::min()))
                    : known.sent_demands.back().sent_at + this->limits.demand_interval);
    }
    return next;
}

} // namespace kingcupcart::quarantine
