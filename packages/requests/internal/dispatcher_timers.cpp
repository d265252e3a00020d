#include "requests/internal/dispatcher_state.h"

#include <algorithm>

/// Timer-driven decisions of the dispatcher: hedges, resumes and deadlines.
namespace kingcupcart::requests {

namespace {

/// Delay of the first hedge before the pool's time to first output was observed.
constexpr duration hedge_delay_unknown = std::chrono::seconds(1);
/// Silence of long work that counts as a stall.
constexpr duration long_work_stall = std::chrono::seconds(5);

} // namespace

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
    this->check_paths();
}

void dispatcher::state::arm_hedge_timer(const request_state& request) {
    const bool may_hedge = request.kind == urgency::short_work && request.profile.repeatable &&
                           request.sent_count() < this->max_attempts(request);
    if (!may_hedge) {
        return;
    }
    const duration expected =
        this->router.expected_first_output(request.profile.backend, request.kind);
    duration delay = hedge_delay_unknown;
    if (expected > duration::zero()) {
        const auto multiple = static_cast<duration::rep>(static_cast<double>(expected.count()) *
                                                         this->limits.hedge_ratio);
        delay = std::max(this->limits.hedge_floor, duration(multiple));
    }
    // A copy would only be read a second time.
    delay += this->router.expected_reading_time(request.profile.backend, request.profile.prompt);
    this->timers.add(
        {this->now + delay * static_cast<duration::rep>(request.active_attempts.size()),
         timer_queue::purpose::hedge, request.profile.id});
}

void dispatcher::state::arm_stall_timer(const request_state& request) {
    if (!request.profile.resumable || request.attempt_count > 1) {
        return;
    }
    this->timers.add(
        {this->now + this->stall_delay(request), timer_queue::purpose::stall, request.profile.id});
}

duration dispatcher::state::stall_delay(const request_state& request) const {
    if (request.kind == urgency::long_work) {
        return long_work_stall;
    }
    const duration interval = this->router.expected_interval(request.profile.backend);
    const auto multiple = static_cast<duration::rep>(static_cast<double>(interval.count()) *
                                                     this->limits.stall_ratio);
    return std::max(this->limits.stall_floor, duration(multiple));
}

void dispatcher::state::hedge(request_state& request) {
    const bool is_waiting =
        !request.queued && !request.selected && !request.active_attempts.empty();
    if (!is_waiting || !request.profile.repeatable ||
        request.unreachable_count >= this->limits.max_unreachable ||
        request.sent_count() >= this->max_attempts(request)) {
        return;
    }
    const attempt_state& newest = this->attempts.at(request.active_attempts.back());
    if (newest.has_output || newest.is_relayed || !this->may_send_copy(request) ||
        !this->budget.try_withdraw()) {
        return;
    }
    const bool is_cut_off = this->is_cut_off(request.profile.backend);
    const auto choice = is_cut_off ? this->route_over_kept_connections(request, false)
                                   : this->route(request, false, false);
    if (choice.target) {
        this->send(request, choice, send_cause::hedge);
    } else if (is_cut_off && this->may_be_relayed(request)) {
        this->relay(request);
    } else {
        this->budget.refund();
    }
}

void dispatcher::state::check_stall(request_state& request) {
    if (request.selected && this->attempts.at(*request.selected).is_relayed) {
        return;
    }
    const duration delay = this->stall_delay(request);
    if (!request.selected || request.is_paused) {
        // Before its first output a stream is covered by hedges, and a paused one is not silent.
        this->timers.add({this->now + delay, timer_queue::purpose::stall, request.profile.id});
        return;
    }
    const duration silence = this->now - request.last_output;
    if (silence < delay) {
        this->timers.add(
            {request.last_output + delay, timer_queue::purpose::stall, request.profile.id});
        return;
    }
    this->timers.add({this->now + delay, timer_queue::purpose::stall, request.profile.id});
    if (this->has_changed(this->attempts.at(*request.selected))) {
        // The new record may have arrived after events of the new process were passed on.
        const backend_name backend = request.profile.backend;
        this->break_off(request, *request.selected, this->attempts.at(*request.selected).target);
        this->send_queued(backend);
        return;
    }
    const bool is_alone = request.active_attempts.size() == 1;
    if (!is_alone || !this->may_send_copy(request) ||
        request.sent_count() >= this->max_attempts(request)) {
        return;
    }
    if (this->is_cut_off(request.profile.backend)) {
        this->relay_stalled(request, silence);
        return;
    }
    if (!this->budget.try_withdraw()) {
        return;
    }
    const auto choice = this->route(request, false, false);
    if (choice.target) {
        this->send(request, choice, send_cause::resume);
    } else {
        this->budget.refund();
    }
}

void dispatcher::state::handle_deadline(request_state& request) {
    const bool is_orphan = this->now >= request.deadline + this->limits.orphan_time;
    if (request.profile.continues_after_disconnect && request.write_started && !is_orphan &&
        !request.held) {
        if (!request.reported_unknown) {
            request.reported_unknown = true;
            this->output.push_back(refuse_request{
                request.profile.id, outcome_kind::unknown, refusal_reason::deadline_passed, {}});
        }
        this->timers.add({request.deadline + this->limits.orphan_time,
                          timer_queue::purpose::deadline, request.profile.id});
        return;
    }
    const backend_name backend = request.profile.backend;
    this->unbind_if_changed(request);
    while (!request.active_attempts.empty()) {
        this->cancel(request, request.active_attempts.back());
    }
    this->refuse(request, refusal_reason::deadline_passed);
    this->send_queued(backend);
}

} // namespace kingcupcart::requests
