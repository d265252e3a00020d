#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <vector>

/// What the dispatcher does with requests whose targets all take a limited rate.
namespace kingcupcart::requests {

namespace {

/// Shortest and longest delay after which a refused caller is asked to return.
constexpr duration retry_after_rate_limited = std::chrono::milliseconds(200);
constexpr duration max_retry_after = std::chrono::seconds(30);

} // namespace

bool dispatcher::state::await_permit(request_state& request) {
    const std::vector<target_id> limited = this->router.find_only_limited(make_query(request));
    if (limited.empty()) {
        return true;
    }
    const auto expected_wait = [&](const target_id& target) {
        return this->permits->expected_wait(target, this->now);
    };
    const target_id soonest = *std::min_element(limited.begin(), limited.end(),
                                                [&](const target_id& a, const target_id& b) {
                                                    return expected_wait(a) < expected_wait(b);
                                                });
    const duration wait = expected_wait(soonest);
    if (this->now + wait > request.permit_due) {
        this->refuse_rate_limited(request, soonest, wait);
        return false;
    }
    request.awaited_target = soonest;
    this->permits->add_waiting(soonest);
    this->timers.add({request.permit_due, timer_queue::purpose::permit, request.profile.id});
    return true;
}

void dispatcher::state::await_permits(const backend_name& backend) {
    if (this->permits->table().empty()) {
        return;
    }
    std::vector<request_id> queued;
    for (const auto& [id, request] : this->requests) {
        if (request.queued && !request.awaited_target && request.profile.backend == backend) {
            queued.push_back(id);
        }
    }
    std::sort(queued.begin(), queued.end());
    for (const request_id id : queued) {
        // A refused request is gone from the queue.
        static_cast<void>(this->await_permit(this->requests.at(id)));
    }
}

void dispatcher::state::stop_awaiting_permit(request_state& request) {
    if (request.awaited_target) {
        this->permits->remove_waiting(*request.awaited_target);
        request.awaited_target.reset();
    }
}

void dispatcher::state::refuse_rate_limited(request_state& request, const target_id& target,
                                            duration wait) {
    // Callers that are refused together must not return together.
    std::uniform_real_distribution<double> spread(1, 2);
    const duration delay = std::clamp(wait, retry_after_rate_limited, max_retry_after);
    const auto spread_out =
        static_cast<duration::rep>(static_cast<double>(delay.count()) * spread(this->random));
    const auto outcome = request.write_started ? outcome_kind::unknown : outcome_kind::not_run;
    this->output.push_back(refuse_request{request.profile.id, outcome, refusal_reason::rate_limited,
                                          duration(spread_out), target});
    this->erase_request(request.profile.id);
}

void dispatcher::state::refuse_without_permit(const target_id& target) {
    std::vector<request_id> awaiting;
    for (const auto& [id, request] : this->requests) {
        if (request.awaited_target == target) {
            awaiting.push_back(id);
        }
    }
    std::sort(awaiting.begin(), awaiting.end());
    const duration wait = this->permits->expected_wait(target, this->now);
    // The wait is that of one more request, behind all those that are waiting already.
    const auto places = static_cast<duration::rep>(awaiting.size() + 1);
    for (std::size_t i = 0; i < awaiting.size(); ++i) {
        request_state& request = this->requests.at(awaiting[i]);
        const duration expected = wait * static_cast<duration::rep>(i + 1) / places;
        if (this->now + expected > request.permit_due) {
            this->refuse_rate_limited(request, target, wait);
        }
    }
}

void dispatcher::state::handle_permit_due(request_state& request) {
    if (!request.awaited_target || this->now < request.permit_due) {
        return;
    }
    const target_id target = *request.awaited_target;
    if (this->router.find_only_limited(make_query(request)).empty()) {
        // Another target has become available, and the request waits for room there.
        this->stop_awaiting_permit(request);
        return;
    }
    this->refuse_rate_limited(request, target, this->permits->expected_wait(target, this->now));
}

} // namespace kingcupcart::requests
