#pragma once

#include "base/clock.h"

namespace kingcupcart {

/// Total time that the machine was suspended since it started, which `system_clock` doesn't count.
/// Accurate to the time between two readings of a clock.
[[nodiscard]] duration suspended_time();

} // namespace kingcupcart
