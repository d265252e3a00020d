#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "settings/fleet_settings.h"

#include <cstddef>
#include <string>

namespace kingcupcart::settings {

/// Settings of the store role.
struct store_settings {
    fleet_settings fleet;
    /// Where other instances connect.
    endpoint address;
    /// Folder of the store's state; one store owns it.
    std::string data;
    /// First start of the whole deployment: an empty store may begin the group.
    bool is_first_start = false;
    /// Stores that may be lost at once without losing a job.
    std::size_t tolerated_losses = 1;
    /// Batch jobs and their results are kept for this long after their submission.
    duration retention = std::chrono::minutes(10);
};

} // namespace kingcupcart::settings
