#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "settings/fleet_settings.h"

#include <cstddef>

namespace kingcupcart::settings {

/// Settings of a keeper that serves the control of a fleet.
struct control_settings {
    fleet_settings fleet;
    /// Where operators, trainers and targets connect.
    endpoint address;
    /// First start of the whole deployment: the keepers at the seeds begin the group.
    bool is_first_start = false;
    /// Keepers, and stores, that may be lost at once.
    std::size_t tolerated_losses = 1;
    /// A new holder of orders to targets waits this long, so that two never take turns.
    duration order_lease = std::chrono::seconds(3);
    /// A target lives this long after its last heartbeat.
    duration target_lease = std::chrono::seconds(5);
};

} // namespace kingcupcart::settings
