#pragma once

#include "base/clock.h"

#include <cstddef>

namespace kingcupcart::rollout {

/// Settings of the load planner.
struct planner_limits {
    /// Share of a service's engines that load at once: more at a time load more slowly, as the
    /// weight store's rate is shared.
    double parallel_share = 0.2;
    /// When a load is asked about first; the time that one takes on an unshared weight store.
    duration load_time = std::chrono::milliseconds(950);
    /// Between two reports that are asked for while a load goes on.
    duration report_interval = std::chrono::milliseconds(250);
    /// An engine whose order or report failed is left alone for this long.
    duration retry_interval = std::chrono::milliseconds(700);
};

} // namespace kingcupcart::rollout
