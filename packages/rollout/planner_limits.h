#pragma once

#include "base/clock.h"

#include <cstddef>

namespace kingcupcart::rollout {

/// Settings of the load planner.
struct planner_limits {
    /// Maximum share of a service's engines that load at the same time. Concurrent loads share the
    /// bandwidth of the weight store, so a larger share makes each load slower.
    double max_loading_share = 0.2;
    /// Number of concurrent loads that is not reduced further where loads take long.
    std::size_t min_parallel_loads = 10;
    /// Number of report requests at the same time to engines that are to load. A new leader needs a
    /// report of each engine before its first order there.
    std::size_t max_parallel_reports = 64;
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
    /// With more engines than this the planner makes a pass over them at most once in
    /// `pass_time_per_engine` times their number, instead of one for each message: thousands of
    /// engines announce themselves within seconds when a fleet starts.
    std::size_t max_engines_without_delay = 256;
    /// A pass takes a few hundred nanoseconds an engine.
    duration pass_time_per_engine = std::chrono::microseconds(10);
};

} // namespace kingcupcart::rollout
