#include "rollout/load_window.h"

#include <algorithm>
#include <cmath>

namespace kingcupcart::rollout {

namespace {

/// A load that takes longer than this, as a multiple of a single one, shares the weight store.
/// Covers the interval of reports.
constexpr double slow_load = 1.6;
/// Factor by which slow loads reduce the window, at most once in the time of a load.
constexpr double shrink_factor = 0.7;
/// Growth for each load that is not slow: the window grows by a quarter in the time of a load.
constexpr double growth = 0.25;

std::size_t largest_share(std::size_t engines, const planner_limits& limits) {
    const auto share = std::lround(static_cast<double>(engines) * limits.max_loading_share);
    return static_cast<std::size_t>(std::max(1L, share));
}

bool is_slow(duration took, const planner_limits& limits) {
    return std::chrono::duration<double>(took) >
           slow_load * std::chrono::duration<double>(limits.expected_load_time);
}

} // namespace

std::size_t load_window::limit(std::size_t engines, const planner_limits& limits) const {
    const std::size_t share = largest_share(engines, limits);
    const std::size_t wanted =
        std::max(limits.min_parallel_loads, static_cast<std::size_t>(this->size));
    return std::min(share, wanted);
}

void load_window::load_completed(duration took, std::size_t loading, std::size_t engines,
                                 const planner_limits& limits, time_point now) {
    if (is_slow(took, limits)) {
        this->shrink(limits, now);
    } else if (loading + 1 >= this->limit(engines, limits)) {
        // A window that is not used says nothing about a larger one.
        this->size =
            std::min(static_cast<double>(largest_share(engines, limits)),
                     std::max(this->size, static_cast<double>(limits.min_parallel_loads)) + growth);
    }
}

void load_window::load_continues(duration took, const planner_limits& limits, time_point now) {
    if (is_slow(took, limits)) {
        this->shrink(limits, now);
    }
}

void load_window::shrink(const planner_limits& limits, time_point now) {
    if (now - this->shrunk_at < limits.expected_load_time) {
        return;
    }
    this->shrunk_at = now;
    this->size *= shrink_factor;
}

} // namespace kingcupcart::rollout
