#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace kingcupcart::quarantine {

/// A target that may have ended under a request, which isn't known yet.
struct checked_target {
    target_id target;
    incarnation_id incarnation;
    /// When the connection broke.
    time_point since{};
};

} // namespace kingcupcart::quarantine
