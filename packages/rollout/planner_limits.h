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
    /// Engines are reassigned once some model's number of engines has differed by at least this
    /// much from what its demand calls for, for `min_imbalance_time`. A reassigned engine pauses
    /// for a load and starts with a cold cache.
    std::size_t min_imbalance = 2;
    /// Two to three steps of a trainer, so that a single large step reassigns nothing.
    duration min_imbalance_time = std::chrono::seconds(10);
};

} // namespace kingcupcart::rollout
