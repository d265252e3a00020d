#pragma once

#include "base/ids.h"
#include "base/location.h"

namespace kingcupcart::routing {

/// The properties of a target that routing depends on.
struct target_profile {
    target_id id;
    backend_name backend;
    location place;
    /// Maximum number of concurrent requests.
    int slots = 1;
    /// A leaving target finishes its running requests and receives no new ones.
    bool leaving = false;
    /// Empty if the target states none.
    software_version software{};
};

} // namespace kingcupcart::routing
