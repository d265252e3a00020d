#pragma once

#include "base/clock.h"

namespace kingcupcart::routing {

/// Moves a running median a small step towards a new observation. Unlike a mean, it is robust
/// against a few slow targets. A median of zero is replaced by the first observation.
[[nodiscard]] inline duration update_median(duration median, duration observed) {
    constexpr double step_share = 0.03;
    if (median <= duration::zero()) {
        return observed;
    }
    const auto step = static_cast<duration::rep>(static_cast<double>(median.count()) * step_share);
    return median + duration(observed > median ? step : -step);
}

} // namespace kingcupcart::routing
