#include "requests/internal/dispatcher_state.h"

/// What the dispatcher does with requests whose attempts fail.
namespace kingcupcart::requests {

namespace {

constexpr duration retry_after_failure = std::chrono::seconds(1);

refusal_reason reason_of(attempt_failure failure) {
    switch (failure) {
    case attempt_failure::unreachable:
        return refusal_reason::target_unreachable;
    case attempt_failure::no_relay:
        return refusal_reason::no_path;
    case attempt_failure::unsendable:
        return refusal_reason::unsendable;
    case attempt_failure::declined:
    case attempt_failure::broken:
    case attempt_failure::disconnected:
        break;
    }
    return refusal_reason::target_failed;
}

} // namespace

void dispatcher::state::on(const attempt_failed& failed) {
    const auto found = this->attempts.find(failed.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    if (found->second.is_relayed) {
        this->handle_failed_relay(failed);
        return;
    }
    const target_id target = found->second.target;
    const duration elapsed = this->now - found->second.sent;
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
    const bool is_unsendable = failed.failure == attempt_failure::unsendable;
    if (failed.failure != attempt_failure::declined && !is_unsendable) {
        this->router.record_failed(target, this->now);
    }
    if (failed.failure == attempt_failure::unreachable) {
        ++request.unsent_count;
        ++request.unreachable_count;
        this->record_unopened(target, elapsed);
    }
    if (is_unsendable) {
        ++request.unsent_count;
    }
    if (is_unknown) {
        this->break_off(request, failed.attempt, target);
    } else if (request.active_attempts.empty()) {
        this->retry_or_refuse(request, failed.failure, was_selected);
    }
    this->update_paths();
    this->send_queued(backend);
}

void dispatcher::state::handle_failed_relay(const attempt_failed& failed) {
    const attempt_state ended = this->attempts.at(failed.attempt);
    request_state& request = this->requests.at(ended.request);
    const backend_name backend = request.profile.backend;
    const bool was_selected = request.selected == failed.attempt;
    if (was_selected) {
        request.selected.reset();
    }
    this->end_attempt(request, failed.attempt, quarantine::attempt_end::unclear);
    if (was_selected) {
        // The other instance recorded the stream, so its caller can take it up there.
        this->refuse(request, refusal_reason::target_failed, retry_after_failure);
        this->send_queued(backend);
        return;
    }
    const bool has_not_run = !ended.is_written || failed.failure == attempt_failure::declined;
    if (has_not_run) {
        request.unsent_count += ended.target_limit;
        if (ended.is_first_written && !request.reported_unknown) {
            request.write_started = false;
        }
    }
    this->retry_or_refuse(request, has_not_run ? attempt_failure::no_relay : failed.failure, false);
    this->send_queued(backend);
}

void dispatcher::state::retry_or_refuse(request_state& request, attempt_failure failure,
                                        bool was_selected) {
    const bool is_unreachable = failure == attempt_failure::unreachable;
    // Neither a target nor another instance has the request.
    const bool is_budget_exempt = is_unreachable || failure == attempt_failure::no_relay;
    const bool has_attempts = request.sent_count() < this->max_attempts(request);
    const bool may_reconnect = !is_unreachable ||
                               request.unreachable_count < this->limits.max_unreachable ||
                               this->is_cut_off(request.profile.backend);
    if (failure == attempt_failure::unsendable || request.reported_unknown ||
        !request.can_retry() || !has_attempts || !may_reconnect ||
        !(is_budget_exempt || this->budget.try_withdraw())) {
        this->refuse(request, reason_of(failure), retry_after_failure);
        return;
    }
    this->route_and_send(request, was_selected ? send_cause::resume : send_cause::retry);
}

} // namespace kingcupcart::requests
