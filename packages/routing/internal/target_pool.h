#pragma once

#include "base/clock.h"
#include "routing/decaying_peak.h"
#include "routing/distance.h"
#include "routing/slowdown_model.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <vector>

namespace kingcupcart::routing {

struct target_state;

/// The targets of one model or service.
struct target_pool {
    /// Targets by distance, ordered by rank.
    std::array<std::vector<target_state*>, distance_count> by_distance;
    int short_running = 0;
    int ejected = 0;
    decaying_peak short_peak{std::chrono::seconds(30)};
    slowdown_model slowdown;
    /// Running median of the time to first output.
    duration expected_first{};
    /// Running median of the time between two tokens of a stream.
    duration expected_interval{};

    [[nodiscard]] std::size_t size() const {
        std::size_t count = 0;
        for (const auto& tier : this->by_distance) {
            count += tier.size();
        }
        return count;
    }
};

} // namespace kingcupcart::routing
