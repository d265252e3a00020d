#pragma once

#include "base/clock.h"
#include "paths/path_limits.h"
#include "routing/router_limits.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::requests {

/// Parameters of the dispatch policy.
struct dispatcher_limits {
    routing::router_limits routing;
    paths::path_limits paths;
    /// The caller of the dispatcher reports each connection that opens, and executes `probe_path`.
    /// Otherwise no instance counts as cut off from a backend.
    bool tracks_paths = false;
    /// Maximum number of attempts per request, whatever their cause. Those that reached no target
    /// are not counted.
    std::size_t max_attempts = 4;
    /// Maximum number of attempts per request whose connection was not established.
    std::size_t max_unreachable = 4;
    /// Maximum number of instances that are asked to relay a request.
    std::size_t max_relays = 2;
    /// Retry budget, which retries, hedges and resumes draw on: its share of the requests, and the
    /// number of attempts that it can save up.
    double retry_share = 0.1;
    double retry_burst = 20;
    /// A hedge starts after this multiple of the pool's median time to first output, but no earlier
    /// than `hedge_floor`.
    double hedge_ratio = 2.5;
    duration hedge_floor = std::chrono::milliseconds(10);
    /// How long after its deadline, when its callers received the outcome `unknown`, a request that
    /// must not be repeated may still complete.
    duration orphan_time = std::chrono::minutes(2);
    /// Minimum silence after which a stream of short work is resumed on another target.
    duration stall_floor = std::chrono::milliseconds(60);
    /// Silence that counts as a stall, as a multiple of the median time between two tokens.
    double stall_ratio = 6;
};

} // namespace kingcupcart::requests
