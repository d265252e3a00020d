#pragma once

#include "base/clock.h"
#include "routing/router_limits.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::requests {

/// Settings of the dispatcher's policy.
struct dispatcher_limits {
    routing::router_limits routing;
    /// Attempts per request, over all causes.
    std::size_t attempts_max = 4;
    /// Retries and hedges as a share of the requests.
    double retry_share = 0.1;
    double retry_burst = 20;
    /// A hedge starts after this multiple of the pool's typical time to first output.
    double hedge_ratio = 2.5;
    duration hedge_floor = std::chrono::milliseconds(10);
    /// How long a run that may not be repeated is waited for after its callers were told `unknown`.
    duration orphan_time = std::chrono::minutes(2);
    /// A stream that is silent for this long is resumed elsewhere.
    duration stall_floor = std::chrono::milliseconds(60);
    /// Multiple of the typical time between two tokens that counts as a stall.
    double stall_ratio = 6;
};

} // namespace kingcupcart::requests
