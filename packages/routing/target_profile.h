#pragma once

#include "base/ids.h"
#include "base/location.h"

namespace kingcupcart::routing {

/// What the router needs to know of a target.
struct target_profile {
    target_id id;
    backend_name backend;
    location place;
    /// Requests that the target runs side by side.
    int slots = 1;
    /// A leaving target finishes what it has and gets nothing new.
    bool leaving = false;
};

} // namespace kingcupcart::routing
