#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <vector>

/// What a target that names a limit may get, from the platform's rules.
namespace kingcupcart::process_tests {

/// Time after a target first named its limit from which the limit has to hold (`contactMs`).
inline constexpr duration limit_settling_time = std::chrono::seconds(4);

/// Requests that a target with this limit may get within 4 s.
[[nodiscard]] std::size_t allowed_in_window(double requests_per_second);

/// The most arrivals within 4 s, of those between `begin` and `end`.
[[nodiscard]] std::size_t most_in_window(const std::vector<time_point>& arrivals, time_point begin,
                                         time_point end = time_point::max());

} // namespace kingcupcart::process_tests
