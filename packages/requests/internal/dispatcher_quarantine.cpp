#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <utility>
#include <vector>

/// How the dispatcher treats requests under which targets may have ended.
namespace kingcupcart::requests {

void dispatcher::state::record_target(const membership::directory_change& change) {
    using membership::directory_event;
    const membership::target_record& record = change.record;
    const known_target current{record.incarnation, record.software, record.leaving};
    switch (change.event) {
    case directory_event::removed:
        this->targets.erase(record.id);
        break;
    case directory_event::restarted: {
        const auto known = this->targets.find(record.id);
        if (this->crashes != nullptr && known != this->targets.end() &&
            known->second.incarnation != record.incarnation) {
            this->crashes->record_target_ended(record.id, known->second.incarnation, this->now);
        }
        this->targets.insert_or_assign(record.id, current);
        break;
    }
    case directory_event::added:
    case directory_event::changed:
        this->targets.insert_or_assign(record.id, current);
        break;
    case directory_event::renewed:
    case directory_event::stale:
        break;
    }
}

bool dispatcher::state::may_send_copy(const request_state& request) const {
    return this->crashes == nullptr || !request.profile.fingerprint ||
           this->crashes->is_free(*request.profile.fingerprint, this->now);
}

void dispatcher::state::record_begin(const request_state& request, attempt_id attempt) {
    if (this->crashes == nullptr || !request.profile.fingerprint) {
        return;
    }
    const target_id& target = this->attempts.at(attempt).target;
    const auto known = this->targets.find(target);
    const incarnation_id incarnation =
        known == this->targets.end() ? incarnation_id() : known->second.incarnation;
    this->crashes->begin(attempt, *request.profile.fingerprint, target, incarnation, this->now);
}

quarantine::send_decision dispatcher::state::decide_quarantine(const request_state& request) const {
    return this->crashes == nullptr || !request.profile.fingerprint
               ? quarantine::send_decision()
               : this->crashes->decide(*request.profile.fingerprint, this->now);
}

bool dispatcher::state::pass_quarantine(request_state& request, send_cause cause) {
    const quarantine::send_decision decision = this->decide_quarantine(request);
    switch (decision.permission) {
    case quarantine::send_permission::free:
    case quarantine::send_permission::alone:
    case quarantine::send_permission::trial:
        return true;
    case quarantine::send_permission::refused:
        this->refuse(request, refusal_reason::quarantined, decision.retry_after);
        return false;
    case quarantine::send_permission::wait:
        break;
    }
    if (request.queued) {
        // The requests behind it in the queue don't have to wait for the decision.
        this->stop_awaiting_permit(request);
        this->queues[request.profile.backend].remove(request.profile.id);
        request.queued = false;
        request.preempted = false;
    }
    request.held = cause;
    this->crashes->add_waiting(*request.profile.fingerprint);
    return false;
}

void dispatcher::state::stop_holding(request_state& request) {
    if (std::exchange(request.held, std::nullopt)) {
        this->crashes->remove_waiting(*request.profile.fingerprint);
    }
}

void dispatcher::state::update_suspect(const request_fingerprint& fingerprint) {
    std::vector<request_id> held;
    for (const auto& [id, request] : this->requests) {
        if (request.held && request.profile.fingerprint == fingerprint) {
            held.push_back(id);
        }
    }
    std::sort(held.begin(), held.end());
    for (const request_id id : held) {
        request_state& request = this->requests.at(id);
        const send_cause cause = *request.held;
        this->stop_holding(request);
        this->route_and_send(request, cause);
    }
}

} // namespace kingcupcart::requests
