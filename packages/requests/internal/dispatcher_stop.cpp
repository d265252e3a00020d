#include "requests/internal/dispatcher_state.h"

#include <vector>

/// What the dispatcher does during a planned stop.
namespace kingcupcart::requests {

namespace {

/// Another instance can take the request at once; the delay spreads the callers of this one.
constexpr duration retry_after_stop = std::chrono::milliseconds(100);

} // namespace

void dispatcher::state::announce_stop(time_point deadline) {
    this->stop_deadline = deadline;
    std::vector<request_id> late;
    for (auto& [id, request] : this->requests) {
        this->limit_by_stop(request);
        if ((request.queued || request.held) && !this->may_end_before_stop(request)) {
            late.push_back(id);
        }
    }
    for (const request_id id : late) {
        this->refuse_for_stop(this->requests.at(id));
    }
}

void dispatcher::state::begin_stop(time_point deadline) {
    this->stopping = true;
    this->announce_stop(deadline);
}

void dispatcher::state::limit_by_stop(request_state& request) {
    if (request.deadline > *this->stop_deadline) {
        request.deadline = *this->stop_deadline;
        this->timers.add({request.deadline, timer_queue::purpose::deadline, request.profile.id});
    }
    if (const auto latest = this->latest_send(request)) {
        this->timers.add({*latest, timer_queue::purpose::latest_send, request.profile.id});
    }
}

std::optional<time_point> dispatcher::state::latest_send(const request_state& request) const {
    const bool has_started = request.attempt_count > 0 || request.write_started;
    if (!this->stop_deadline || has_started || request.requested_deadline <= *this->stop_deadline) {
        return std::nullopt;
    }
    const auto known = this->run_times.find(request.profile.work_class);
    const auto expected =
        known == this->run_times.end() ? std::optional<duration>() : known->second.upper_bound();
    if (expected) {
        return *this->stop_deadline - *expected;
    }
    // A second run does no harm where it turns out to be too late. Otherwise the request is left to
    // an instance that has the time.
    return request.profile.repeatable ? std::nullopt : std::optional(time_point::min());
}

bool dispatcher::state::may_end_before_stop(const request_state& request) const {
    const auto latest = this->latest_send(request);
    return !latest || this->now <= *latest;
}

void dispatcher::state::refuse_for_stop(request_state& request) {
    this->refuse(request, refusal_reason::stopping, retry_after_stop);
}

} // namespace kingcupcart::requests
