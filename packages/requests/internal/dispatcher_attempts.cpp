#include "requests/internal/dispatcher_state.h"

#include <vector>

/// How the dispatcher begins, selects and ends attempts.
namespace kingcupcart::requests {

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
    this->router.record_sent(attempt.target, request.kind, this->now, request.profile.prompt);
    if (!request.profile.prefix.empty()) {
        this->router.record_cached(attempt.target, request.profile.prefix, this->now);
    }
    this->output.push_back(send_attempt{request.profile.id, this->last_attempt, attempt.target,
                                        request.delivered_tokens, cause, choice,
                                        this->open_timeout(attempt.target)});
    this->arm_hedge_timer(request);
    this->arm_stall_timer(request);
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
    if (!cancelled.is_relayed && !cancelled.has_output && waited > expected &&
        expected > duration::zero()) {
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
    const attempt_state& finished = this->attempts.at(attempt);
    if (!finished.is_relayed) {
        if (this->crashes != nullptr) {
            this->crashes->end(attempt, how, this->now);
        }
        this->router.record_finished(finished.target, finished.kind, finished.sent,
                                     finished.has_output, this->now);
    }
    std::erase(request.active_attempts, attempt);
    this->attempts.erase(attempt);
}

} // namespace kingcupcart::requests
