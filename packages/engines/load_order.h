#pragma once

#include "base/ids.h"
#include "rollout/planner_actions.h"

#include <cstdint>

namespace kingcupcart::engines {

/// An order to take weights, with who gives it.
struct load_order {
    rollout::send_load load;
    instance_id holder;
    fencing_number fence;
};

} // namespace kingcupcart::engines
