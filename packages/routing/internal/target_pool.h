#pragma once

#include "base/clock.h"
#include "base/urgency.h"
#include "routing/distance.h"
#include "routing/load_average.h"
#include "routing/slowdown_model.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

namespace kingcupcart::routing {

struct target_state;

/// The targets of a pool at one distance. A leaving target is in neither list.
struct target_tier {
    /// Ordered by rank.
    std::vector<target_state*> in_use;
    /// Ejected for slowness or failure, or being probed.
    std::vector<target_state*> out_of_use;
};

/// The targets of one backend, that is, of one model or service.
struct target_pool {
    std::array<target_tier, distance_count> by_distance;
    int short_running = 0;
    int long_running = 0;
    /// Number of targets in any state.
    int targets = 0;
    load_average short_load{std::chrono::seconds(10)};
    slowdown_model slowdown;
    /// Running medians of the time to first output, separate for short and long work: targets
    /// packed with long work respond later and must not count as slow compared with the others.
    duration expected_first_output_short{};
    duration expected_first_output_long{};
    /// Running medians of the time between two tokens of a stream, for short and long work.
    duration expected_interval{};
    duration expected_long_interval{};

    [[nodiscard]] duration& expected_first_output_of(urgency kind) {
        return kind == urgency::short_work ? this->expected_first_output_short
                                           : this->expected_first_output_long;
    }
    [[nodiscard]] std::size_t in_use_count() const {
        std::size_t count = 0;
        for (const target_tier& tier : this->by_distance) {
            count += tier.in_use.size();
        }
        return count;
    }
};

} // namespace kingcupcart::routing
