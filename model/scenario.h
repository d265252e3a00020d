#pragma once

#include "base/clock.h"
#include "model/engine_speed.h"
#include "model/work_stream.h"

#include <cstdint>
#include <string>

namespace kingcupcart::model {

/// A deployment under load, as a model runs it.
struct scenario {
    std::string name;
    int regions = 3;
    int instances_per_region = 3;
    int engines_per_region = 4;
    engine_speed speed;
    duration domain_delay = std::chrono::microseconds(500);
    duration region_delay = std::chrono::milliseconds(20);
    work_stream short_work;
    work_stream long_work;
    /// Share of the targets that are slowed at each moment, and how much.
    double slowed_share = 0;
    double slowness = 10;
    /// How long the same targets stay slowed.
    duration slow_moment = std::chrono::seconds(10);
    duration report_interval = std::chrono::milliseconds(500);
    /// How late a load report is.
    duration report_lag = std::chrono::milliseconds(500);
    /// Not measured: until queues and averages have settled.
    duration warm_up = std::chrono::seconds(10);
    duration length = std::chrono::seconds(70);
    std::uint64_t seed = 1;
};

/// The bridal salon: stylist-lm with twelve replicas in three regions.
[[nodiscard]] scenario salon_scenario();
/// The schema services: planner-models with nine replicas in three regions.
[[nodiscard]] scenario planner_scenario();

} // namespace kingcupcart::model
