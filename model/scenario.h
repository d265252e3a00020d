#pragma once

#include "base/clock.h"
#include "model/engine_speed.h"
#include "model/workload.h"

#include <cstdint>
#include <string>

namespace kingcupcart::model {

/// A deployment under load, for a simulation.
struct scenario {
    std::string name;
    int regions = 3;
    int instances_per_region = 3;
    int engines_per_region = 4;
    engine_speed speed;
    /// One-way network delay between an instance and an engine of the same region.
    duration intra_region_delay = std::chrono::microseconds(500);
    /// One-way network delay between regions.
    duration inter_region_delay = std::chrono::milliseconds(20);
    workload short_work;
    workload long_work;
    /// Fraction of the engines that are slowed at any time, and the factor by which they are.
    double slowed_fraction = 0;
    double slowdown_factor = 10;
    /// Period after which another random set of engines is slowed.
    duration slowdown_period = std::chrono::seconds(10);
    duration report_interval = std::chrono::milliseconds(500);
    /// Delay from a load report's measurement to its arrival at the instances.
    duration report_delay = std::chrono::milliseconds(500);
    /// Latencies of requests that arrive earlier are not recorded, until queues and averages have
    /// settled.
    duration warm_up = std::chrono::seconds(10);
    /// Total virtual time, including the warm-up.
    duration run_time = std::chrono::seconds(70);
    std::uint64_t seed = 1;
};

/// The bridal salon: stylist-lm, with twelve replicas in three regions.
[[nodiscard]] scenario salon_scenario();
/// The schema services: planner-models, with nine replicas in three regions.
[[nodiscard]] scenario planner_scenario();

} // namespace kingcupcart::model
