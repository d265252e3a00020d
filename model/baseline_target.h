#pragma once

#include "base/ids.h"

namespace kingcupcart::model {

/// State of a target in a baseline policy.
struct baseline_target {
    target_id id;
    int slots = 1;
    /// Requests that this instance has running at the target.
    int running = 0;
};

} // namespace kingcupcart::model
