#pragma once

#include "base/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace kingcupcart::model {

/// Results of a simulation run.
struct measurements {
    /// Time from a short request's arrival to its complete response.
    std::vector<duration> short_latencies;
    /// Time from a long request's arrival to its complete response.
    std::vector<duration> long_latencies;
    std::uint64_t refused = 0;
    std::uint64_t attempts = 0;
    std::uint64_t requests = 0;
    std::int64_t tokens_produced = 0;
    std::int64_t tokens_requested = 0;

    /// The value at `fraction` (0 to 1) of the sorted latencies; zero if there are none.
    [[nodiscard]] static duration quantile(std::vector<duration> latencies, double fraction) {
        if (latencies.empty()) {
            return {};
        }
        const auto rank =
            static_cast<std::size_t>(static_cast<double>(latencies.size() - 1) * fraction);
        std::nth_element(latencies.begin(), latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                         latencies.end());
        return latencies[rank];
    }
};

} // namespace kingcupcart::model
