#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace kingcupcart::requests {

namespace {

constexpr duration retry_after_no_target = std::chrono::seconds(1);
constexpr duration retry_after_stop = std::chrono::seconds(1);
/// Drafts are moved away from kept targets at most this often.
constexpr duration relief_interval = std::chrono::milliseconds(50);

} // namespace

dispatcher::state::state(location here, dispatcher_limits limits, std::uint64_t seed)
    : limits(limits),
      router(std::move(here), limits.routing, seed),
      budget(limits.retry_share, limits.retry_burst) {}

void dispatcher::state::on(const request_arrived& arrived) {
    request_state request;
    request.profile = arrived.profile;
    const auto known_class = this->classes.find(arrived.profile.work_class);
    if (known_class == this->classes.end()) {
        this->refuse(request, refusal_reason::unknown_class);
        return;
    }
    if (this->stopping) {
        this->refuse(request, refusal_reason::stopping, retry_after_stop);
        return;
    }
    this->budget.earn();
    request.kind = known_class->second.kind;
    const duration wanted = request.profile.deadline;
    request.deadline =
        this->now + (wanted > duration::zero() ? wanted : known_class->second.deadline);
    request_state& kept =
        this->requests.insert_or_assign(arrived.profile.id, std::move(request)).first->second;
    this->timers.add({kept.deadline, timer_queue::purpose::deadline, kept.profile.id});
    // Nobody overtakes those who wait in the same class.
    const auto& waiting = this->queues[kept.profile.backend].of_class(known_class->second).waiting;
    if (!waiting.empty()) {
        this->enqueue(kept);
        return;
    }
    if (kept.kind == urgency::short_work) {
        const backend_name backend = kept.profile.backend;
        this->route_and_send(kept, send_cause::first);
        this->relieve(backend);
        return;
    }
    this->route_and_send(kept, send_cause::first);
}

void dispatcher::state::on(const attempt_handed& handed) {
    const auto found = this->attempts.find(handed.attempt);
    if (found != this->attempts.end()) {
        this->requests.at(found->second.request).handed = true;
    }
}

void dispatcher::state::on(const attempt_progressed& progressed) {
    const auto found = this->attempts.find(progressed.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    attempt_state& attempt = found->second;
    request_state& request = this->requests.at(attempt.request);
    if (!attempt.has_output) {
        attempt.has_output = true;
        this->router.record_first_output(attempt.target, attempt.kind, attempt.sent, this->now);
    } else {
        this->router.record_progress(attempt.target, attempt.kind, progressed.produced,
                                     this->now - attempt.last_output);
    }
    attempt.last_output = this->now;
    if (!request.profile.resumable || !this->adopt(request, progressed.attempt)) {
        return;
    }
    request.delivered += progressed.produced;
    request.last_output = this->now;
}

void dispatcher::state::on(const attempt_answered& answered) {
    const auto found = this->attempts.find(answered.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    attempt_state& attempt = found->second;
    request_state& request = this->requests.at(attempt.request);
    if (!attempt.has_output) {
        attempt.has_output = true;
        this->router.record_first_output(attempt.target, attempt.kind, attempt.sent, this->now);
    }
    if (!this->adopt(request, answered.attempt)) {
        return;
    }
    // One that was to go on where this one was silent may still be under way.
    this->cancel_others(request, answered.attempt);
    this->end_attempt(request, answered.attempt);
    this->output.push_back(complete_request{request.profile.id});
    const backend_name backend = request.profile.backend;
    this->forget(request.profile.id);
    this->pump(backend);
}

void dispatcher::state::on(const attempt_failed& failed) {
    const auto found = this->attempts.find(failed.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const target_id target = found->second.target;
    request_state& request = this->requests.at(found->second.request);
    const backend_name backend = request.profile.backend;
    const bool was_adopted = request.adopted == failed.attempt;
    if (was_adopted) {
        request.adopted.reset();
    }
    this->end_attempt(request, failed.attempt);
    if (failed.failure != attempt_failure::declined) {
        this->router.record_failed(target, this->now);
    }
    if (request.live.empty()) {
        this->send_again(request, failed.failure, was_adopted);
    }
    this->pump(backend);
}

void dispatcher::state::on(const caller_disconnected& left) {
    const auto found = this->requests.find(left.request);
    if (found == this->requests.end()) {
        return;
    }
    request_state& request = found->second;
    if (request.profile.outlives_caller && request.handed) {
        return;
    }
    const backend_name backend = request.profile.backend;
    while (!request.live.empty()) {
        this->cancel(request, request.live.back());
    }
    this->forget(left.request);
    this->pump(backend);
}

void dispatcher::state::on(const timer_expired& /*passed*/) {
    while (const auto due = this->timers.take_due(this->now)) {
        const auto found = this->requests.find(due->request);
        if (found == this->requests.end()) {
            continue;
        }
        switch (due->why) {
        case timer_queue::purpose::deadline:
            this->expire(found->second);
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

void dispatcher::state::pump(const backend_name& backend) {
    const auto found = this->queues.find(backend);
    if (found == this->queues.end()) {
        return;
    }
    for (auto& queue : found->second.by_urgency()) {
        while (!queue.waiting.empty()) {
            request_state& request = this->requests.at(queue.waiting.front().id);
            const auto choice = this->route(request, request.profile.repeatable);
            if (!choice.target) {
                break;
            }
            queue.waiting.pop();
            if (!queue.waiting.empty()) {
                queue.drain.observe_departure(this->now);
            }
            request.queued = false;
            send_cause cause = request.attempts == 0 ? send_cause::first : send_cause::retry;
            cause = std::exchange(request.moved, false) ? send_cause::moved : cause;
            this->send(request, choice, cause);
        }
    }
}

void dispatcher::state::relieve(const backend_name& backend) {
    time_point& last = this->relieved[backend];
    if (this->now - last < relief_interval) {
        return;
    }
    last = this->now;
    const auto wanted = this->router.find_relief(backend, this->now);
    for (const routing::relief& one : wanted) {
        std::vector<attempt_id> drafts;
        for (const auto& [id, attempt] : this->attempts) {
            const request_state& request = this->requests.at(attempt.request);
            if (attempt.target == one.target && attempt.kind == urgency::long_work &&
                request.profile.resumable && request.live.size() == 1) {
                drafts.push_back(id);
            }
        }
        // The youngest have the least to prefill again elsewhere.
        std::sort(drafts.begin(), drafts.end(), std::greater<>());
        const auto surplus = static_cast<std::size_t>(one.surplus);
        drafts.resize(std::min(drafts.size(), surplus));
        for (const attempt_id draft : drafts) {
            this->move_away(draft);
        }
    }
    if (!wanted.empty()) {
        this->pump(backend);
    }
}

void dispatcher::state::move_away(attempt_id attempt) {
    request_state& request = this->requests.at(this->attempts.at(attempt).request);
    std::erase(request.tried, this->attempts.at(attempt).target);
    --request.attempts;
    request.adopted.reset();
    this->cancel(request, attempt);
    request.moved = true;
    this->enqueue(request);
}

void dispatcher::state::enqueue(request_state& request) {
    const admission::work_class& work = this->class_of(request);
    auto& queue = this->queues[request.profile.backend].of_class(work);
    const duration wait = queue.drain.expected_wait(queue.waiting.size());
    if (this->now + wait >= request.deadline) {
        this->refuse(request, refusal_reason::would_be_late, wait);
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
    const auto choice = this->route(request, request.profile.repeatable);
    if (choice.target) {
        this->send(request, choice, cause);
        return;
    }
    if (choice.reason == routing::route_reason::no_room) {
        this->enqueue(request);
    } else {
        this->refuse(request, refusal_reason::no_target, retry_after_no_target);
    }
}

routing::route_choice dispatcher::state::route(const request_state& request, bool allows_trial) {
    routing::route_query query;
    query.backend = request.profile.backend;
    query.kind = request.kind;
    query.allows_trial = allows_trial;
    query.excluded = request.tried;
    query.prefix = request.profile.prefix;
    return this->router.choose(query, this->now);
}

void dispatcher::state::send(request_state& request, const routing::route_choice& choice,
                             send_cause cause) {
    this->last_attempt = attempt_id(this->last_attempt.value() + 1);
    attempt_state attempt;
    attempt.request = request.profile.id;
    attempt.target = *choice.target;
    attempt.kind = request.kind;
    attempt.sent = this->now;
    attempt.resume_after = request.delivered;
    this->attempts.emplace(this->last_attempt, attempt);
    request.live.push_back(this->last_attempt);
    request.tried.push_back(attempt.target);
    ++request.attempts;
    this->router.record_sent(attempt.target, request.kind, this->now);
    if (!request.profile.prefix.empty()) {
        this->router.record_cached(attempt.target, request.profile.prefix, this->now);
    }
    this->output.push_back(send_attempt{request.profile.id, this->last_attempt, attempt.target,
                                        request.delivered, cause, choice});
    this->arm_hedge(request);
    this->arm_stall(request);
}

void dispatcher::state::send_again(request_state& request, attempt_failure failure,
                                   bool was_adopted) {
    const auto reason = failure == attempt_failure::unreachable ? refusal_reason::target_unreachable
                                                                : refusal_reason::target_failed;
    const bool has_attempts = request.attempts < this->attempts_max(request);
    const bool is_free = failure == attempt_failure::unreachable;
    if (request.told_unknown || !request.may_run_again() || !has_attempts ||
        !(is_free || this->budget.spend())) {
        this->refuse(request, reason, retry_after_no_target);
        return;
    }
    this->route_and_send(request, was_adopted ? send_cause::resume : send_cause::retry);
}

bool dispatcher::state::adopt(request_state& request, attempt_id attempt) {
    if (request.adopted == attempt) {
        return true;
    }
    if (this->attempts.at(attempt).resume_after != request.delivered) {
        this->cancel(request, attempt);
        return false;
    }
    request.adopted = attempt;
    this->output.push_back(adopt_attempt{request.profile.id, attempt});
    this->cancel_others(request, attempt);
    return true;
}

void dispatcher::state::cancel_others(request_state& request, attempt_id kept) {
    const std::vector<attempt_id> live = request.live;
    for (const attempt_id attempt : live) {
        if (attempt != kept) {
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
        // It lost against a later attempt: so long it waited at least.
        this->router.record_first_output(cancelled.target, cancelled.kind, cancelled.sent,
                                         this->now);
        this->attempts.at(attempt).has_output = true;
    }
    this->end_attempt(request, attempt);
    this->output.push_back(cancel_attempt{attempt});
}

void dispatcher::state::end_attempt(request_state& request, attempt_id attempt) {
    const attempt_state& ended = this->attempts.at(attempt);
    this->router.record_finished(ended.target, ended.kind, ended.sent, ended.has_output, this->now);
    std::erase(request.live, attempt);
    this->attempts.erase(attempt);
}

void dispatcher::state::refuse(request_state& request, refusal_reason reason,
                               duration retry_after) {
    const auto outcome = request.handed ? outcome_kind::unknown : outcome_kind::not_run;
    this->output.push_back(refuse_request{request.profile.id, outcome, reason, retry_after});
    this->forget(request.profile.id);
}

void dispatcher::state::forget(request_id request) {
    const auto found = this->requests.find(request);
    if (found == this->requests.end()) {
        return;
    }
    if (found->second.queued) {
        this->queues[found->second.profile.backend].remove(request);
    }
    this->requests.erase(found);
}

std::size_t dispatcher::state::attempts_max(const request_state& request) const {
    const std::size_t wanted = request.profile.attempts_max;
    return wanted == 0 ? this->limits.attempts_max : std::min(wanted, this->limits.attempts_max);
}

const admission::work_class& dispatcher::state::class_of(const request_state& request) const {
    return this->classes.at(request.profile.work_class);
}

} // namespace kingcupcart::requests
