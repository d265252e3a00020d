#pragma once

#include "base/ids.h"
#include "base/urgency.h"

#include <vector>

namespace kingcupcart::routing {

/// What is asked of the router.
struct route_query {
    backend_name backend;
    urgency kind = urgency::short_work;
    /// May be tried on a target in probation, because a second attempt is allowed.
    bool allows_trial = false;
    /// Targets that this request has already been sent to.
    std::vector<target_id> excluded;
    /// Chained block hashes of the prompt, shortest prefix first; empty where there is no prompt.
    std::vector<prefix_hash> prefix;
};

} // namespace kingcupcart::routing
