#pragma once

#include "base/ids.h"

namespace kingcupcart::membership {

/// The load that a target reported in its heartbeat, as relayed by the instance that received it.
struct target_load {
    target_id id;
    int running = 0;
    int waiting = 0;
};

} // namespace kingcupcart::membership
