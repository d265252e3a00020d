#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/urgency.h"
#include "routing/distance.h"
#include "routing/internal/target_tier.h"
#include "routing/load_average.h"
#include "routing/prompt_reading.h"
#include "routing/slowdown_model.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace kingcupcart::routing {

using target_tiers = std::array<target_tier, distance_count>;

/// The targets of one backend, that is, of one model or service.
struct target_pool {
    target_tiers by_distance;
    /// The same targets once more, by the version of their software, so that a version which few of
    /// them have is found without a search. A version without a target in its tiers is absent.
    std::unordered_map<software_version, target_tiers> by_software;
    int short_running = 0;
    int long_running = 0;
    /// Number of targets in any state.
    int targets = 0;
    load_average short_load{std::chrono::seconds(10)};
    slowdown_model slowdown;
    prompt_reading prompts;
    /// Number of targets that have long prompts to read.
    std::size_t long_readers = 0;
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
    /// The targets that may serve a request of this version, or of any if it is empty; null if
    /// there are none of the version.
    [[nodiscard]] const target_tiers*
    tiers_of(const std::optional<software_version>& software) const {
        if (!software) {
            return &this->by_distance;
        }
        const auto found = this->by_software.find(*software);
        return found == this->by_software.end() ? nullptr : &found->second;
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
