#pragma once

#include "base/ids.h"

namespace kingcupcart::routing {

/// A target reserved for short work that runs more long work than its limit.
struct long_work_surplus {
    target_id target;
    /// Number of this instance's long-work requests above the limit.
    int surplus = 0;
};

} // namespace kingcupcart::routing
