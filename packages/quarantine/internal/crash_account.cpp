#include "quarantine/crash_account.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace kingcupcart::quarantine {

namespace {

/// Shortest time between two searches for what has expired.
constexpr duration expiry_interval = std::chrono::milliseconds(10);

trial_outcome outcome_of(attempt_end how) {
    switch (how) {
    case attempt_end::completed:
        return trial_outcome::completed;
    case attempt_end::disconnected:
        return trial_outcome::crashed;
    case attempt_end::unclear:
        break;
    }
    return trial_outcome::unclear;
}

} // namespace

const local_suspect* crash_account::find(const request_fingerprint& fingerprint) const {
    const auto found = this->suspected.find(fingerprint);
    return found == this->suspected.end() ? nullptr : &found->second;
}

std::size_t crash_account::crashes(const request_fingerprint& fingerprint) const {
    const local_suspect* known = this->find(fingerprint);
    return known == nullptr ? 0 : known->crashes.count();
}

std::size_t crash_account::suspects() const {
    return static_cast<std::size_t>(
        std::count_if(this->suspected.begin(), this->suspected.end(),
                      [](const auto& known) { return known.second.crashes.count() > 0; }));
}

std::size_t crash_account::quarantined(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->suspected.begin(), this->suspected.end(), [&](const auto& known) {
            return known.second.decide(now, this->limits).permission == send_permission::refused;
        }));
}

send_decision crash_account::decide(const request_fingerprint& fingerprint, time_point now) const {
    const local_suspect* known = this->find(fingerprint);
    return known == nullptr ? send_decision() : known->decide(now, this->limits);
}

bool crash_account::is_free(const request_fingerprint& fingerprint, time_point /*now*/) const {
    return this->crashes(fingerprint) == 0;
}

void crash_account::add_waiting(const request_fingerprint& fingerprint) {
    ++this->find_or_add(fingerprint).waiting;
    this->awaited.insert(fingerprint);
}

void crash_account::remove_waiting(const request_fingerprint& fingerprint) {
    const auto found = this->suspected.find(fingerprint);
    if (found != this->suspected.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

void crash_account::record_change(const request_fingerprint& fingerprint,
                                  const local_suspect& known) {
    if (known.waiting > 0) {
        this->changed.insert(fingerprint);
    }
}

std::vector<request_fingerprint> crash_account::take_changed(time_point now) {
    this->expire(now);
    std::vector<request_fingerprint> taken(this->changed.begin(), this->changed.end());
    this->changed.clear();
    return taken;
}

local_suspect& crash_account::find_or_add(const request_fingerprint& fingerprint) {
    const auto found = this->suspected.find(fingerprint);
    if (found != this->suspected.end()) {
        return found->second;
    }
    this->drop_surplus();
    local_suspect& known = this->suspected[fingerprint];
    const auto copies = this->running.find(fingerprint);
    if (copies != this->running.end()) {
        known.copies = copies->second;
    }
    return known;
}

void crash_account::begin(attempt_id attempt, const request_fingerprint& fingerprint,
                          const target_id& target, incarnation_id incarnation, time_point now) {
    const auto found = this->suspected.find(fingerprint);
    const bool is_trial =
        found != this->suspected.end() && found->second.begin(attempt, now, this->limits);
    this->running[fingerprint].insert(attempt);
    this->attempts.insert_or_assign(attempt,
                                    running_attempt{fingerprint, target, incarnation, is_trial});
}

void crash_account::end_running(attempt_id attempt, const request_fingerprint& fingerprint) {
    const auto copies = this->running.find(fingerprint);
    copies->second.erase(attempt);
    if (copies->second.empty()) {
        this->running.erase(copies);
    }
}

void crash_account::record_crash(const running_attempt& ended, time_point now) {
    local_suspect& known = this->find_or_add(ended.fingerprint);
    const crash_record crash{ended.target, ended.incarnation, crash_status::suspected,
                             ended.is_trial, duration::zero()};
    known.crashes.record(crash, now, this->limits);
    this->unproven.add(ended.target, ended.incarnation, ended.fingerprint, now);
    this->outgoing.emplace_back(crash_report{ended.fingerprint, crash});
    this->apply_completion(ended.fingerprint, known, now);
}

void crash_account::end(attempt_id attempt, attempt_end how, time_point now) {
    const auto ended = this->attempts.find(attempt);
    if (ended == this->attempts.end()) {
        return;
    }
    const running_attempt finished = ended->second;
    const request_fingerprint& fingerprint = finished.fingerprint;
    this->attempts.erase(ended);
    this->end_running(attempt, fingerprint);
    if (how == attempt_end::completed) {
        this->completions.record(fingerprint, now);
    }
    if (how == attempt_end::disconnected) {
        this->record_crash(finished, now);
    }
    const auto found = this->suspected.find(fingerprint);
    if (found == this->suspected.end()) {
        return;
    }
    local_suspect& known = found->second;
    known.end(attempt);
    const bool is_cleared = how == attempt_end::completed && known.crashes.count() > 0;
    if (is_cleared) {
        this->outgoing.emplace_back(completion_report{fingerprint, duration::zero()});
    }
    if (known.trial.is_trial(attempt)) {
        this->end_trial(fingerprint, known, outcome_of(how));
    }
    if (is_cleared) {
        known.crashes.clear(now);
        this->apply_clearance(fingerprint, known);
    } else {
        this->report_copies(fingerprint, known);
    }
    this->record_change(fingerprint, known);
    this->erase_if_idle(fingerprint);
}

void crash_account::end_trial(const request_fingerprint& fingerprint, local_suspect& known,
                              trial_outcome outcome) {
    if (const auto ended = known.trial.end(fingerprint, outcome)) {
        this->outgoing.emplace_back(*ended);
    }
}

void crash_account::apply_clearance(const request_fingerprint& fingerprint, local_suspect& known) {
    if (known.crashes.count() == 0) {
        this->unproven.remove_suspect(fingerprint);
        known.end_suspicion();
        if (known.trial.has_trial()) {
            this->end_trial(fingerprint, known,
                            known.trial.grant_expiry() ? trial_outcome::unused
                                                       : trial_outcome::unclear);
        }
    }
    this->record_change(fingerprint, known);
}

void crash_account::apply_completion(const request_fingerprint& fingerprint, local_suspect& known,
                                     time_point now) {
    const auto completed_at = this->completions.find(fingerprint);
    if (!completed_at || !known.crashes.take_completion(*completed_at)) {
        return;
    }
    this->outgoing.emplace_back(completion_report{fingerprint, now - *completed_at});
    known.crashes.clear(*completed_at);
    this->apply_clearance(fingerprint, known);
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
    const auto crash = this->unproven.take(target, incarnation);
    if (!crash) {
        return;
    }
    const duration age = status == crash_status::withdrawn ? duration::zero() : now - crash->since;
    for (const request_fingerprint& fingerprint : crash->suspects) {
        const auto suspect = this->suspected.find(fingerprint);
        if (suspect == this->suspected.end() ||
            !suspect->second.crashes.set_status(target, incarnation, status)) {
            continue;
        }
        this->outgoing.emplace_back(
            crash_report{fingerprint, {target, incarnation, status, false, age}});
        this->record_change(fingerprint, suspect->second);
        this->erase_if_idle(fingerprint);
    }
}

void crash_account::expire(time_point now) {
    if (this->expired_at && now - *this->expired_at < expiry_interval) {
        return;
    }
    this->expired_at = now;
    std::vector<request_fingerprint> fingerprints;
    for (auto& [fingerprint, known] : this->suspected) {
        if (known.crashes.expire(now, this->limits)) {
            this->record_change(fingerprint, known);
        }
        const auto expiry = known.trial.grant_expiry();
        if (expiry && (*expiry <= now || known.waiting == 0)) {
            this->end_trial(fingerprint, known, trial_outcome::unused);
        }
        fingerprints.push_back(fingerprint);
    }
    for (const request_fingerprint& fingerprint : fingerprints) {
        this->erase_if_idle(fingerprint);
    }
    this->unproven.expire(now, this->limits.suspicion_lifetime);
}

void crash_account::erase_if_idle(const request_fingerprint& fingerprint) {
    const auto found = this->suspected.find(fingerprint);
    if (found != this->suspected.end() && found->second.is_idle()) {
        this->suspected.erase(found);
    }
}

void crash_account::drop_surplus() {
    if (this->suspected.size() < this->limits.max_entries) {
        return;
    }
    const auto rank = [](const auto& element) {
        const local_suspect& known = element.second;
        const bool is_used = known.waiting > 0 || known.trial.has_trial();
        return std::tuple(is_used, known.crashes.state(),
                          known.crashes.last_at().value_or(time_point::max()));
    };
    this->suspected.erase(
        std::min_element(this->suspected.begin(), this->suspected.end(),
                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

} // namespace kingcupcart::quarantine
