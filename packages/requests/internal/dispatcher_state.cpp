#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::requests {

namespace {

constexpr duration retry_after_no_target = std::chrono::seconds(1);

} // namespace

dispatcher::state::state(location local_location, dispatcher_limits limits, std::uint64_t seed,
                         permits::permit_account* shared_permits,
                         quarantine::crash_account* shared_crashes)
    : limits(limits),
      router(std::move(local_location), limits.routing, seed),
      paths(limits.paths, seed),
      own_permits({}, seed),
      permits(shared_permits == nullptr ? &this->own_permits : shared_permits),
      crashes(shared_crashes),
      random(seed),
      budget(limits.retry_share, limits.retry_burst) {
    this->router.set_permits(this->permits);
}

void dispatcher::state::on(const request_arrived& arrived) {
    request_state request;
    request.profile = arrived.profile;
    const auto known_class = this->classes.find(arrived.profile.work_class);
    if (known_class == this->classes.end()) {
        this->refuse(request, refusal_reason::unknown_class);
        return;
    }
    if (this->stopping) {
        this->refuse_for_stop(request);
        return;
    }
    this->budget.deposit();
    request.kind = known_class->second.kind;
    const duration requested = request.profile.deadline;
    request.deadline =
        this->now + (requested > duration::zero() ? requested : known_class->second.deadline);
    request.requested_deadline = request.deadline;
    const duration objective = request.profile.objective;
    request.software = request.profile.software;
    request.permit_due = objective > duration::zero()
                             ? std::min(request.deadline, this->now + objective)
                             : request.deadline;
    if (!this->may_end_before_stop(request)) {
        this->refuse_for_stop(request);
        return;
    }
    request_state& stored =
        this->requests.insert_or_assign(arrived.profile.id, std::move(request)).first->second;
    this->timers.add({stored.deadline, timer_queue::purpose::deadline, stored.profile.id});
    if (this->stop_deadline) {
        this->limit_by_stop(stored);
    }
    if (!this->pass_quarantine(stored, send_cause::first)) {
        return;
    }
    // A request must not overtake queued requests of the same class.
    const bool is_waiting = this->queues[stored.profile.backend].is_waiting(
        known_class->first, this->queued_version(stored));
    if (is_waiting && this->has_version_left(stored)) {
        this->enqueue(stored);
        return;
    }
    if (stored.kind == urgency::short_work) {
        const backend_name backend = stored.profile.backend;
        this->route_and_send(stored, send_cause::first);
        this->preempt_long_work(backend);
        return;
    }
    this->route_and_send(stored, send_cause::first);
}

void dispatcher::state::on(const attempt_write_started& started) {
    const auto found = this->attempts.find(started.attempt);
    if (found != this->attempts.end()) {
        this->requests.at(found->second.request).write_started = true;
    }
}

void dispatcher::state::on(const attempt_progressed& progressed) {
    const auto found = this->attempts.find(progressed.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    attempt_state& attempt = found->second;
    request_state& request = this->requests.at(attempt.request);
    if (const auto changed = this->find_changed_attempt(request, progressed.attempt)) {
        this->end_changed_attempt(*changed);
        return;
    }
    if (!attempt.has_output) {
        attempt.has_output = true;
        this->router.record_first_output(attempt.target, attempt.kind, attempt.sent, this->now);
    } else {
        this->router.record_progress(attempt.target, attempt.kind, progressed.produced,
                                     this->now - attempt.last_output);
    }
    attempt.last_output = this->now;
    const bool is_forwarded = request.profile.resumable || request.profile.is_streamed;
    const bool is_selected = request.selected == progressed.attempt;
    if (!is_forwarded || !this->select(request, progressed.attempt)) {
        return;
    }
    if (!is_selected) {
        this->bind(request, progressed.attempt);
        this->cancel_others(request, progressed.attempt);
    }
    request.delivered_tokens += progressed.produced;
    request.last_output = this->now;
}

void dispatcher::state::on(const attempt_paused& paused) {
    const auto found = this->attempts.find(paused.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    request_state& request = this->requests.at(found->second.request);
    request.is_paused = paused.is_paused;
    if (!paused.is_paused) {
        // The target is not responsible for the pause.
        found->second.last_output = this->now;
        request.last_output = this->now;
    }
}

void dispatcher::state::on(const attempt_completed& completed) {
    const auto found = this->attempts.find(completed.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    attempt_state& attempt = found->second;
    request_state& request = this->requests.at(attempt.request);
    const auto changed = this->find_changed_attempt(request, completed.attempt);
    if (changed && request.software) {
        this->end_changed_attempt(*changed);
        return;
    }
    if (!attempt.has_output) {
        attempt.has_output = true;
        this->router.record_first_output(attempt.target, attempt.kind, attempt.sent, this->now);
    }
    if (!this->select(request, completed.attempt)) {
        return;
    }
    // An attempt that was to resume this one after a stall may still be running.
    this->cancel_others(request, completed.attempt);
    this->run_times[request.profile.work_class].observe(this->now - attempt.sent);
    this->end_attempt(request, completed.attempt, quarantine::attempt_end::completed);
    this->output.push_back(complete_request{request.profile.id});
    const backend_name backend = request.profile.backend;
    this->erase_request(request.profile.id);
    this->send_queued(backend);
}

void dispatcher::state::on(const attempt_failed& failed) {
    const auto found = this->attempts.find(failed.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const target_id target = found->second.target;
    request_state& request = this->requests.at(found->second.request);
    const backend_name backend = request.profile.backend;
    const bool was_selected = request.selected == failed.attempt;
    // The new record may have arrived after events of the new process were passed on.
    const bool is_unknown =
        was_selected && request.profile.resumable && this->has_changed(found->second);
    if (was_selected) {
        request.selected.reset();
    }
    const auto known_target = this->targets.find(target);
    const bool is_leaving = known_target != this->targets.end() && known_target->second.leaving;
    const bool is_suspicious = failed.failure == attempt_failure::disconnected && !is_leaving;
    this->end_attempt(request, failed.attempt,
                      is_suspicious ? quarantine::attempt_end::disconnected
                                    : quarantine::attempt_end::unclear);
    if (failed.failure != attempt_failure::declined) {
        this->router.record_failed(target, this->now);
    }
    if (is_unknown) {
        this->break_off(request, failed.attempt, target);
    } else if (request.active_attempts.empty()) {
        this->retry_or_refuse(request, failed.failure, was_selected);
    }
    this->send_queued(backend);
}

void dispatcher::state::on(const caller_disconnected& disconnected) {
    const auto found = this->requests.find(disconnected.request);
    if (found == this->requests.end()) {
        return;
    }
    request_state& request = found->second;
    if (request.profile.continues_after_disconnect && request.write_started) {
        return;
    }
    const backend_name backend = request.profile.backend;
    this->unbind_if_changed(request);
    while (!request.active_attempts.empty()) {
        this->cancel(request, request.active_attempts.back());
    }
    this->erase_request(disconnected.request);
    this->send_queued(backend);
}

void dispatcher::state::on(const timer_expired& /*expired*/) {
    while (const auto due = this->timers.pop_due(this->now)) {
        const auto found = this->requests.find(due->request);
        if (found == this->requests.end()) {
            continue;
        }
        switch (due->timer_purpose) {
        case timer_queue::purpose::deadline:
            this->handle_deadline(found->second);
            break;
        case timer_queue::purpose::latest_send:
            if (found->second.queued || found->second.held) {
                this->refuse_for_stop(found->second);
            }
            break;
        case timer_queue::purpose::permit:
            this->handle_permit_due(found->second);
            break;
        case timer_queue::purpose::hedge:
            this->hedge(found->second);
            break;
        case timer_queue::purpose::stall:
            this->check_stall(found->second);
            break;
        }
    }
}

void dispatcher::state::send_queued(const backend_name& backend) {
    const auto found = this->queues.find(backend);
    if (found == this->queues.end()) {
        return;
    }
    for (auto& queue : found->second.by_urgency()) {
        while (!queue.waiting.empty()) {
            request_state& request = this->requests.at(queue.waiting.front().id);
            if (!this->may_end_before_stop(request)) {
                this->refuse_for_stop(request);
                continue;
            }
            send_cause cause = request.attempt_count == 0 ? send_cause::first : send_cause::retry;
            cause = request.preempted ? send_cause::moved : cause;
            if (!this->pass_quarantine(request, cause)) {
                continue;
            }
            const auto choice = this->route(request, request.profile.repeatable);
            if (!choice.target && !this->has_version_left(request)) {
                this->refuse(request, refusal_reason::no_target, retry_after_no_target);
                continue;
            }
            if (!choice.target) {
                break;
            }
            queue.waiting.pop();
            if (!queue.waiting.empty()) {
                queue.drain.observe_departure(this->now);
            }
            request.queued = false;
            request.preempted = false;
            this->send(request, choice, cause);
        }
    }
    found->second.delete_unused();
}

void dispatcher::state::enqueue(request_state& request) {
    const admission::work_class& work = this->class_of(request);
    auto& queue =
        this->queues[request.profile.backend].queue_for(work, this->queued_version(request));
    const duration wait = queue.drain.expected_wait(queue.waiting.size());
    const auto latest = this->latest_send(request);
    if (latest && this->now + wait > *latest) {
        this->refuse_for_stop(request);
        return;
    }
    if (this->now + wait >= request.deadline) {
        this->refuse(request, refusal_reason::would_be_late, wait);
        return;
    }
    if (!this->await_permit(request)) {
        return;
    }
    const admission::queued_request waiting{request.profile.id, request.profile.caller,
                                            request.deadline};
    if (!queue.waiting.push(waiting)) {
        this->refuse(request, refusal_reason::queue_full, wait);
        return;
    }
    request.queued = true;
}

void dispatcher::state::route_and_send(request_state& request, send_cause cause) {
    if (!this->pass_quarantine(request, cause)) {
        return;
    }
    const auto choice = this->route(request, request.profile.repeatable);
    if (choice.target) {
        this->send(request, choice, cause);
        return;
    }
    // The last targets of a version may be both out of use and full.
    const bool may_wait = request.software && this->has_version_left(request);
    if (choice.reason == routing::route_reason::no_room ||
        choice.reason == routing::route_reason::no_permit || may_wait) {
        this->enqueue(request);
    } else {
        this->refuse(request, refusal_reason::no_target, retry_after_no_target);
    }
}

routing::route_query dispatcher::state::make_query(const request_state& request) {
    routing::route_query query;
    query.backend = request.profile.backend;
    query.kind = request.kind;
    query.software = request.software;
    query.excluded = request.tried_targets;
    query.prefix = request.profile.prefix;
    return query;
}

routing::route_choice dispatcher::state::route(const request_state& request, bool allows_probe,
                                               bool allows_limited) {
    routing::route_query query = make_query(request);
    query.allows_probe = allows_probe;
    query.allows_limited = allows_limited;
    return this->router.choose(query, this->now);
}

void dispatcher::state::send(request_state& request, const routing::route_choice& choice,
                             send_cause cause) {
    this->last_attempt = attempt_id(this->last_attempt.value() + 1);
    attempt_state attempt;
    attempt.request = request.profile.id;
    attempt.target = *choice.target;
    if (const auto known = this->targets.find(attempt.target); known != this->targets.end()) {
        attempt.incarnation = known->second.incarnation;
        attempt.software = known->second.software;
    }
    attempt.kind = request.kind;
    attempt.sent = this->now;
    attempt.resume_after = request.delivered_tokens;
    this->attempts.emplace(this->last_attempt, attempt);
    request.is_paused = false;
    request.active_attempts.push_back(this->last_attempt);
    request.tried_targets.push_back(attempt.target);
    ++request.attempt_count;
    this->stop_awaiting_permit(request);
    this->permits->take(attempt.target, this->now);
    for (const target_id& passed_over : choice.without_permit) {
        this->permits->add_spare_demand(passed_over, this->now);
    }
    this->record_begin(request, this->last_attempt);
    this->router.record_sent(attempt.target, request.kind, this->now);
    if (!request.profile.prefix.empty()) {
        this->router.record_cached(attempt.target, request.profile.prefix, this->now);
    }
    this->output.push_back(send_attempt{request.profile.id, this->last_attempt, attempt.target,
                                        request.delivered_tokens, cause, choice,
                                        this->paths.open_timeout(attempt.target)});
    this->arm_hedge_timer(request);
    this->arm_stall_timer(request);
}

void dispatcher::state::retry_or_refuse(request_state& request, attempt_failure failure,
                                        bool was_selected) {
    const auto reason = failure == attempt_failure::unreachable ? refusal_reason::target_unreachable
                                                                : refusal_reason::target_failed;
    const bool has_attempts = request.attempt_count < this->max_attempts(request);
    const bool is_budget_exempt = failure == attempt_failure::unreachable;
    if (request.reported_unknown || !request.can_retry() || !has_attempts ||
        !(is_budget_exempt || this->budget.try_withdraw())) {
        this->refuse(request, reason, retry_after_no_target);
        return;
    }
    this->route_and_send(request, was_selected ? send_cause::resume : send_cause::retry);
}

bool dispatcher::state::select(request_state& request, attempt_id attempt) {
    if (request.selected == attempt) {
        return true;
    }
    if (this->attempts.at(attempt).resume_after != request.delivered_tokens) {
        this->cancel(request, attempt);
        return false;
    }
    request.selected = attempt;
    this->output.push_back(select_attempt{request.profile.id, attempt});
    return true;
}

void dispatcher::state::cancel_others(request_state& request, attempt_id selected_attempt) {
    const std::vector<attempt_id> active_attempts = request.active_attempts;
    for (const attempt_id attempt : active_attempts) {
        if (attempt != selected_attempt) {
            this->cancel(request, attempt);
        }
    }
}

void dispatcher::state::cancel(request_state& request, attempt_id attempt) {
    const attempt_state& cancelled = this->attempts.at(attempt);
    const duration waited = this->now - cancelled.sent;
    const duration expected =
        this->router.expected_first_output(request.profile.backend, request.kind);
    if (!cancelled.has_output && waited > expected && expected > duration::zero()) {
        // A later attempt was faster; the wait so far is a lower bound of this one's time to first
        // output.
        this->router.record_first_output(cancelled.target, cancelled.kind, cancelled.sent,
                                         this->now);
        this->attempts.at(attempt).has_output = true;
    }
    this->end_attempt(request, attempt, quarantine::attempt_end::unclear);
    this->output.push_back(cancel_attempt{attempt});
}

void dispatcher::state::end_attempt(request_state& request, attempt_id attempt,
                                    quarantine::attempt_end how) {
    if (this->crashes != nullptr) {
        this->crashes->end(attempt, how, this->now);
    }
    const attempt_state& finished = this->attempts.at(attempt);
    this->router.record_finished(finished.target, finished.kind, finished.sent, finished.has_output,
                                 this->now);
    std::erase(request.active_attempts, attempt);
    this->attempts.erase(attempt);
}

void dispatcher::state::refuse(request_state& request, refusal_reason reason,
                               duration retry_after) {
    const auto outcome = request.write_started ? outcome_kind::unknown : outcome_kind::not_run;
    this->output.push_back(refuse_request{request.profile.id, outcome, reason, retry_after});
    this->erase_request(request.profile.id);
}

void dispatcher::state::erase_request(request_id request) {
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return;
    }
    this->stop_awaiting_permit(found->second);
    this->stop_holding(found->second);
    if (found->second.queued) {
        this->queues[found->second.profile.backend].remove(request);
    }
    this->requests.erase(found);
}

std::size_t dispatcher::state::max_attempts(const request_state& request) const {
    const std::size_t requested = request.profile.max_attempts;
    return requested == 0 ? this->limits.max_attempts
                          : std::min(requested, this->limits.max_attempts);
}

const admission::work_class& dispatcher::state::class_of(const request_state& request) const {
    return this->classes.at(request.profile.work_class);
}

} // namespace kingcupcart::requests
