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
    /// Listening address for links from other instances.
    endpoint address;
    /// Data folder; used by one store only.
    std::string data;
    /// First start of the whole deployment: a store without data may bootstrap the group.
    bool is_first_start = false;
    /// Number of stores that may fail at the same time without losing a job.
    std::size_t tolerated_losses = 1;
    /// Batch jobs and their results are retained for this long after submission.
    duration retention = std::chrono::minutes(10);
    /// Runs of items that a leading store carries out itself; other stores carry out further ones.
    /// A hundred streams take about a tenth of a core of a small machine.
    std::size_t local_runs = 100;
};

} // namespace kingcupcart::settings
