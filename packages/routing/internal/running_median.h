#pragma once

#include "base/clock.h"

namespace kingcupcart::routing {

/// Moves a running median a small step towards a new observation; unlike a mean it is not drawn
/// away by a few slow targets. Starts at the first observation.
[[nodiscard]] inline duration follow_median(duration median, duration observed) {
    constexpr double step_share = 0.03;
    if (median <= duration::zero()) {
        return observed;
    }
    const auto step = static_cast<duration::rep>(static_cast<double>(median.count()) * step_share);
    return median + duration(observed > median ? step : -step);
}

} // namespace kingcupcart::routing
