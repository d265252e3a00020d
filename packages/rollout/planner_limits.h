#pragma once

#include "base/clock.h"

#include <cstddef>

namespace kingcupcart::rollout {

/// Settings of the load planner.
struct planner_limits {
    /// Maximum share of a service's engines that load at the same time. Concurrent loads share the
    /// bandwidth of the weight store, so a larger share makes each load slower.
    double max_loading_share = 0.2;
    /// Delay from an accepted load order to the first report request: the duration of a single load
    /// while no other engine uses the weight store.
    duration expected_load_time = std::chrono::milliseconds(950);
    /// Interval between report requests during a load.
    duration report_interval = std::chrono::milliseconds(250);
    /// Delay before the next attempt after a load order or a report request failed.
    duration retry_interval = std::chrono::milliseconds(700);
};

} // namespace kingcupcart::rollout
