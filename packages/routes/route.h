#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "routes/route_kind.h"
#include "routes/service_share.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kingcupcart::routes {

/// Where requests of one host and path prefix go, and what they may expect.
struct route {
    route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::repeatable;
    /// A stream or an item that broke off may go on at another target.
    bool is_resumable = false;
    /// Longest wait for a caller.
    duration timeout{};
    /// Time within which an answer is fully useful.
    duration objective{};
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<service_share> shares;
    /// Targets that one attempt of a caller may be sent to.
    std::size_t attempts_max = 1;
    /// Batch jobs: an item may be given up this long after its job was submitted.
    duration queue_limit{};
    /// Batch jobs: results are due this long after the job was submitted.
    duration due{};
    /// Batch jobs: one result must come from one version of the weights.
    bool needs_single_version = false;
};

} // namespace kingcupcart::routes
