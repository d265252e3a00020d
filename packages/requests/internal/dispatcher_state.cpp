#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::requests {

namespace {

constexpr duration retry_after_no_target = std::chrono::seconds(1);
/// Callers that are refused together return over half of the expected wait.
constexpr double max_retry_spread = 1.5;

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
      refusal_random(seed),
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
    if (this->is_cut_off(stored.profile.backend)) {
        this->send_despite_cut(stored, send_cause::first);
        return;
    }
    if (!this->pass_quarantine(stored, send_cause::first)) {
        return;
    }
    // A request must not overtake queued requests of the same class.
    const bool is_waiting = this->queues[stored.profile.backend].is_waiting(
        known_class->first, this->queued_version(stored));
    if (is_waiting && this->has_version_left(stored)) {
        const bool may_wait = !stored.profile.is_relayed ||
                              !this->router.find_only_limited(make_query(stored)).empty();
        this->enqueue_or_decline(stored, may_wait);
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
    if (found == this->attempts.end() || found->second.is_written) {
        return;
    }
    request_state& request = this->requests.at(found->second.request);
    found->second.is_written = true;
    found->second.is_first_written = !request.write_started;
    request.write_started = true;
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
    if (attempt.is_relayed) {
        attempt.has_output = true;
    } else if (!attempt.has_output) {
        attempt.has_output = true;
        this->router.record_first_output(attempt.target, attempt.kind, attempt.sent, this->now);
        if (request.profile.prompt.count() > 0) {
            // The target has read the prompt, and may have room for others.
            this->send_queued(request.profile.backend);
        }
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
    if (!attempt.has_output && !attempt.is_relayed) {
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
            const send_cause cause = next_cause(request);
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

send_cause dispatcher::state::next_cause(const request_state& request) {
    if (request.preempted) {
        return send_cause::moved;
    }
    return request.attempt_count == 0 ? send_cause::first : send_cause::retry;
}

void dispatcher::state::enqueue(request_state& request) {
    const admission::work_class& work = this->class_of(request);
    auto& queue =
        this->queues[request.profile.backend].queue_for(work, this->queued_version(request));
    const duration wait =
        queue.drain.expected_wait(queue.waiting.places_before(request.profile.account));
    const auto latest = this->latest_send(request);
    if (latest && this->now + wait > *latest) {
        this->refuse_for_stop(request);
        return;
    }
    if (this->now + wait >= request.deadline) {
        this->refuse(request, refusal_reason::would_be_late, this->spread(wait));
        return;
    }
    if (!this->await_permit(request)) {
        return;
    }
    const admission::queued_request waiting{request.profile.id, request.profile.caller,
                                            request.deadline, request.profile.account};
    if (!queue.waiting.push(waiting)) {
        this->refuse(request, refusal_reason::queue_full, this->spread(wait));
        return;
    }
    request.queued = true;
}

void dispatcher::state::route_and_send(request_state& request, send_cause cause) {
    if (this->is_cut_off(request.profile.backend)) {
        this->send_despite_cut(request, cause);
        return;
    }
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
        this->enqueue_or_decline(request, choice.reason == routing::route_reason::no_permit);
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
    query.prompt = request.profile.prompt;
    return query;
}

routing::route_choice dispatcher::state::route(const request_state& request, bool allows_probe,
                                               bool allows_limited) {
    routing::route_query query = make_query(request);
    query.allows_probe = allows_probe;
    query.allows_limited = allows_limited;
    return this->router.choose(query, this->now);
}

duration dispatcher::state::spread(duration wait) {
    std::uniform_real_distribution<double> factors(1, max_retry_spread);
    return std::chrono::duration_cast<duration>(wait * factors(this->refusal_random));
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
