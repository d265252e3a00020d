#pragma once

#include "base/ids.h"
#include "rollout/planner_actions.h"

#include <cstdint>

namespace kingcupcart::engines {

/// An order to an engine to load weights, with the instance that sends it.
struct load_order {
    rollout::send_load_order load;
    instance_id holder;
    /// The term in which the holder leads the keepers; rises with each new leader.
    fencing_token fence;
};

} // namespace kingcupcart::engines
