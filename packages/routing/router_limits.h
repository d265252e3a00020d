#pragma once

#include "base/clock.h"

#include <cstddef>

namespace kingcupcart::routing {

/// Parameters of the routing policy.
struct router_limits {
    /// Targets scored per distance; bounds the cost of a decision in large pools.
    std::size_t sample_size = 8;
    /// A target that is slower than its pool by this factor is ejected.
    double ejection_ratio = 3.0;
    /// Slowness alone ejects no target below this share of the pool in use.
    double ejection_floor = 0.5;
    /// Duration of the first ejection; doubles with each failed probe.
    duration ejection_time = std::chrono::seconds(2);
    duration max_ejection_time = std::chrono::seconds(32);
    /// Weight of the newest observation in a target's moving average.
    double observation_weight = 0.3;
    /// A time to first output up to this one never counts as slow.
    duration overdue_floor = std::chrono::milliseconds(20);
    /// Score added for a target in another failure domain, and in another region.
    double other_domain_cost = 0.1;
    double other_region_cost = 1.0;
    /// Score subtracted for a fully cached prefix.
    double prefix_bonus = 0.5;
    /// Relative slowdown of short work that concurrent long work may cause.
    double slowdown_budget = 0.06;
    /// Share of a target's slots that long work may occupy, so that short work always finds a free
    /// slot.
    double long_work_share = 0.75;
    /// Part of `long_work_share` that an instance may use on a target of another failure domain.
    double remote_long_work_share = 0.125;
    /// Age at which a cached prefix no longer influences routing.
    duration max_prefix_age = std::chrono::minutes(5);
    std::size_t max_prefix_entries = 65536;
};

} // namespace kingcupcart::routing
