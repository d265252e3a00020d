#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "settings/fleet_settings.h"

#include <cstddef>

namespace kingcupcart::settings {

/// Settings of a keeper that serves a fleet's control calls.
struct control_settings {
    fleet_settings fleet;
    /// Listening address for operators, trainers and targets.
    endpoint address;
    /// First start of the whole deployment: the keepers at the seeds bootstrap the group.
    bool is_first_start = false;
    /// Number of keepers, and of stores, that may fail at the same time.
    std::size_t tolerated_losses = 1;
    /// A new leader waits this long before it sends load orders to targets, so that orders of the
    /// previous leader and its own never interleave.
    duration order_lease = std::chrono::seconds(3);
    /// A target expires this long after its last heartbeat.
    duration target_lease = std::chrono::seconds(5);
};

} // namespace kingcupcart::settings
