#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace kingcupcart::quarantine {

/// A target whose connection broke under a request, while it isn't known whether it has ended.
struct checked_target {
    target_id target;
    incarnation_id incarnation;
    /// When the connection broke.
    time_point since{};
};

} // namespace kingcupcart::quarantine
