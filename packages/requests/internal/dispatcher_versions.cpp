#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <optional>
#include <vector>

/// How the dispatcher keeps the events of one stream to one software version.
namespace kingcupcart::requests {

namespace {

/// A target of the version may still start.
constexpr duration retry_after_no_version = std::chrono::seconds(1);

} // namespace

void dispatcher::state::bind(request_state& request, attempt_id attempt) {
    if (!request.profile.resumable || request.is_bound) {
        return;
    }
    const attempt_state& began = this->attempts.at(attempt);
    if (began.is_relayed) {
        return;
    }
    request.is_bound = true;
    request.software = began.software;
    this->output.push_back(
        bind_stream{request.profile.id, attempt, began.target, request.software});
}

bool dispatcher::state::has_version_left(const request_state& request) const {
    return !request.software || this->router.has_target(make_query(request));
}

std::optional<software_version>
dispatcher::state::queued_version(const request_state& request) const {
    return this->router.has_several_versions(request.profile.backend) ? request.software
                                                                      : std::nullopt;
}

void dispatcher::state::separate_versions(const backend_name& backend) {
    std::vector<request_id> bound;
    for (const auto& [id, request] : this->requests) {
        if (request.queued && request.software && request.profile.backend == backend) {
            bound.push_back(id);
        }
    }
    std::sort(bound.begin(), bound.end());
    backend_queues& queues = this->queues[backend];
    for (const request_id id : bound) {
        request_state& request = this->requests.at(id);
        queues.remove(id);
        const admission::queued_request waiting{id, request.profile.caller, request.deadline,
                                                request.profile.account};
        auto& queue = queues.queue_for(this->class_of(request), request.software);
        if (!queue.waiting.push(waiting)) {
            this->refuse(request, refusal_reason::queue_full);
        }
    }
}

bool dispatcher::state::has_changed(const attempt_state& attempt) const {
    const auto known = this->targets.find(attempt.target);
    return known != this->targets.end() && (known->second.incarnation != attempt.incarnation ||
                                            known->second.software != attempt.software);
}

std::optional<attempt_id> dispatcher::state::find_changed_attempt(const request_state& request,
                                                                  attempt_id attempt) const {
    if (!request.profile.resumable) {
        return std::nullopt;
    }
    // An attempt that resumes a stalled one continues what that one sent.
    if (request.selected && this->has_changed(this->attempts.at(*request.selected))) {
        return request.selected;
    }
    return this->has_changed(this->attempts.at(attempt)) ? std::optional(attempt) : std::nullopt;
}

void dispatcher::state::end_changed_attempt(attempt_id attempt) {
    const attempt_state& ended = this->attempts.at(attempt);
    request_state& request = this->requests.at(ended.request);
    const backend_name backend = request.profile.backend;
    if (request.selected == attempt) {
        const target_id target = ended.target;
        this->break_off(request, attempt, target);
    } else {
        this->end_attempt(request, attempt, quarantine::attempt_end::unclear);
        this->output.push_back(cancel_attempt{attempt});
        if (request.active_attempts.empty()) {
            this->retry_or_refuse(request, attempt_failure::broken, false);
        }
    }
    this->send_queued(backend);
}

void dispatcher::state::unbind_if_changed(const request_state& request) {
    if (!request.profile.resumable || !request.selected) {
        return;
    }
    const attempt_state& selected = this->attempts.at(*request.selected);
    if (this->has_changed(selected)) {
        this->output.push_back(
            bind_stream{request.profile.id, *request.selected, selected.target, std::nullopt});
    }
}

void dispatcher::state::break_off(request_state& request, attempt_id attempt,
                                  const target_id& target) {
    this->output.push_back(bind_stream{request.profile.id, attempt, target, std::nullopt});
    while (!request.active_attempts.empty()) {
        this->cancel(request, request.active_attempts.back());
    }
    this->refuse(request, refusal_reason::unknown_software);
}

void dispatcher::state::refuse_unserved(const backend_name& backend) {
    std::vector<request_id> unserved;
    for (const auto& [id, request] : this->requests) {
        if ((request.queued || request.held) && request.profile.backend == backend &&
            !this->has_version_left(request)) {
            unserved.push_back(id);
        }
    }
    std::sort(unserved.begin(), unserved.end());
    for (const request_id id : unserved) {
        this->refuse(this->requests.at(id), refusal_reason::no_target, retry_after_no_version);
    }
}

} // namespace kingcupcart::requests
