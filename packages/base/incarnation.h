#pragma once

#include "base/ids.h"

namespace kingcupcart {

/// A number that grows with each start of an instance, also across restarts of its machine:
/// microseconds of wall-clock time.
[[nodiscard]] incarnation_id new_incarnation();

} // namespace kingcupcart
