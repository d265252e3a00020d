#include "quarantine/crash_account.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

/// The messages between an account and the keepers.
namespace kingcupcart::quarantine {

namespace {

/// Shortest delay after which an account repeats a demand for a trial that was refused.
constexpr duration min_refusal = std::chrono::seconds(1);

} // namespace

void crash_account::handle(const suspect_update& update, time_point now) {
    if (update.state == suspect_state::cleared) {
        const auto found = this->suspected.find(update.fingerprint);
        if (found != this->suspected.end()) {
            found->second.crashes.clear_all(
                update.answered_age ? std::optional(now - *update.answered_age) : std::nullopt);
            this->apply_clearance(update.fingerprint, found->second);
            this->erase_if_idle(update.fingerprint);
        }
        return;
    }
    local_suspect& known = this->find_or_add(update.fingerprint);
    known.crashes.apply(update, now, this->limits);
    known.trial.reset_own();
    this->apply_completion(update.fingerprint, known, now);
    this->report_copies(update.fingerprint, known);
    this->record_change(update.fingerprint, known);
    this->erase_if_idle(update.fingerprint);
}

void crash_account::handle(const trial_decision& decision, time_point now) {
    const auto found = this->suspected.find(decision.fingerprint);
    const bool is_accepted =
        found != this->suspected.end() &&
        found->second.trial.accept(decision, found->second.crashes.count() >= crashes_until_trials,
                                   now, this->limits);
    if (!is_accepted) {
        if (decision.verdict == trial_verdict::granted) {
            // The message was delayed, or the trial is no longer needed.
            this->outgoing.emplace_back(
                trial_end{decision.fingerprint, decision.demand, trial_outcome::unused});
        }
        return;
    }
    local_suspect& known = found->second;
    if (decision.verdict == trial_verdict::granted) {
        // All keepers have to know of the trial, in case another one leads next.
        this->outgoing.emplace_back(
            known.crashes.make_update(decision.fingerprint, now, this->limits));
    } else {
        known.crashes.apply_refusal(now + std::max(decision.retry_after, min_refusal));
    }
    this->record_change(decision.fingerprint, known);
}

void crash_account::report_copies(const request_fingerprint& fingerprint, local_suspect& known) {
    if (const auto running = known.take_copies_to_report()) {
        this->outgoing.emplace_back(copy_report{fingerprint, *running});
    }
}

void crash_account::collect_demand(const request_fingerprint& fingerprint, local_suspect& known,
                                   time_point now, std::vector<account_message>& messages) {
    const bool is_wanted = known.wants_trial(now);
    if (!known.trial.is_demand_due(is_wanted, now, this->limits) || !this->message_rate.take(now)) {
        return;
    }
    messages.emplace_back(
        known.trial.make_demand(fingerprint, ++this->last_demand, is_wanted, now, this->limits));
}

std::vector<account_message> crash_account::collect(time_point now) {
    this->expire(now);
    std::vector<account_message> messages;
    // Reports go first: what the leading keeper decides on a demand depends on them.
    while (!this->outgoing.empty() && this->message_rate.take(now)) {
        messages.push_back(std::move(this->outgoing.front()));
        this->outgoing.pop_front();
    }
    for (auto awaiting = this->awaited.begin(); awaiting != this->awaited.end();) {
        const request_fingerprint fingerprint = *awaiting;
        const auto found = this->suspected.find(fingerprint);
        if (found == this->suspected.end()) {
            awaiting = this->awaited.erase(awaiting);
            continue;
        }
        local_suspect& known = found->second;
        this->collect_demand(fingerprint, known, now, messages);
        if (known.trial.has_lost_leader(now, this->limits)) {
            this->record_change(fingerprint, known);
        }
        const bool is_done = known.waiting == 0 && !known.trial.has_demand();
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
        for (const auto& [fingerprint, known] : this->suspected) {
            if (known.crashes.state() != wanted ||
                messages.size() >= this->limits.max_initial_messages) {
                continue;
            }
            messages.emplace_back(known.crashes.make_update(fingerprint, now, this->limits));
            if (wanted >= suspect_state::restricted && !known.copies.empty()) {
                messages.emplace_back(
                    copy_report{fingerprint, static_cast<std::uint32_t>(known.copies.size())});
            }
        }
    }
    return messages;
}

std::optional<time_point> crash_account::next_wakeup() const {
    std::optional<time_point> next;
    const auto include = [&](std::optional<time_point> at) {
        if (at) {
            next = next ? std::min(*next, *at) : *at;
        }
    };
    if (!this->outgoing.empty()) {
        include(this->message_rate.next_at());
    }
    if (!this->changed.empty()) {
        include(time_point::min());
    }
    for (const auto& [fingerprint, known] : this->suspected) {
        include(known.crashes.next_expiry(this->limits));
        include(known.trial.grant_expiry());
        include(known.next_demand_at(this->limits));
    }
    return next;
}

} // namespace kingcupcart::quarantine
