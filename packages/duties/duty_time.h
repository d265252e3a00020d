#pragma once

#include "base/clock.h"

namespace kingcupcart::duties {

/// Time as the holder of a duty has to measure it.
struct duty_time {
    /// Monotonic time, which stands still while the machine is suspended.
    time_point now{};
    /// Total time that the machine was suspended.
    duration suspended{};
};

} // namespace kingcupcart::duties
