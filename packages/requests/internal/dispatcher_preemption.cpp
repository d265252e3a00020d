#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <functional>
#include <vector>

/// How long work makes room for short work on the targets that are reserved for it.
namespace kingcupcart::requests {

namespace {

/// Minimum time between two preemptions of long work on the reserved targets of a backend.
constexpr duration preemption_interval = std::chrono::milliseconds(50);

} // namespace

void dispatcher::state::preempt_long_work(const backend_name& backend) {
    time_point& last = this->last_preemption[backend];
    // While the instance is cut off, preempted drafts could not go on at other targets.
    if (this->now - last < preemption_interval || this->is_cut_off(backend)) {
        return;
    }
    last = this->now;
    const auto surpluses = this->router.find_long_work_surplus(backend, this->now);
    for (const routing::long_work_surplus& overloaded : surpluses) {
        std::vector<attempt_id> drafts;
        for (const auto& [id, attempt] : this->attempts) {
            const request_state& request = this->requests.at(attempt.request);
            if (attempt.target == overloaded.target && attempt.kind == urgency::long_work &&
                request.profile.resumable && request.active_attempts.size() == 1 &&
                this->may_preempt(request, attempt)) {
                drafts.push_back(id);
            }
        }
        // The newest drafts have the fewest tokens to prefill again on another target.
        std::sort(drafts.begin(), drafts.end(), std::greater<>());
        const auto surplus = static_cast<std::size_t>(overloaded.surplus);
        drafts.resize(std::min(drafts.size(), surplus));
        for (const attempt_id draft : drafts) {
            this->preempt(draft);
        }
    }
    if (!surpluses.empty()) {
        this->send_queued(backend);
    }
}

void dispatcher::state::preempt(attempt_id attempt) {
    request_state& request = this->requests.at(this->attempts.at(attempt).request);
    std::erase(request.tried_targets, this->attempts.at(attempt).target);
    --request.attempt_count;
    request.selected.reset();
    this->cancel(request, attempt);
    request.preempted = true;
    this->enqueue(request);
}

bool dispatcher::state::may_preempt(const request_state& request,
                                    const attempt_state& attempt) const {
    return !request.software ||
           (!this->has_changed(attempt) &&
            this->router.can_leave_reserve(attempt.target, make_query(request), this->now));
}

} // namespace kingcupcart::requests
