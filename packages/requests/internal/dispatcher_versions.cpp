#include "requests/internal/dispatcher_state.h"

#include <algorithm>
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
    request.is_bound = true;
    request.software = began.software;
    this->output.push_back(
        bind_stream{request.profile.id, attempt, began.target, request.software});
}

bool dispatcher::state::has_version_left(const request_state& request) const {
    return !request.software || this->router.has_target(make_query(request));
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
