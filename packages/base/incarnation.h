#pragma once

#include "base/ids.h"

namespace kingcupcart {

/// Returns the wall-clock time in microseconds since 1970, which grows with each start of an
/// instance, also across restarts of its machine.
[[nodiscard]] incarnation_id new_incarnation();

} // namespace kingcupcart
