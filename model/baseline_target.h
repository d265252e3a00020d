#pragma once

#include "base/ids.h"

namespace kingcupcart::model {

/// A target as a baseline sees it.
struct baseline_target {
    target_id id;
    int slots = 1;
    /// Requests of this instance on the target.
    int running = 0;
};

} // namespace kingcupcart::model
