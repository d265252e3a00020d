#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::quorum {

/// Timing of a replica; the election time has to be many times the delay between keepers.
struct replica_limits {
    duration heartbeat = std::chrono::milliseconds(100);
    duration election_least = std::chrono::milliseconds(500);
    duration election_most = std::chrono::milliseconds(1000);
    /// How often a keeper that is no voter asks to join.
    duration join_interval = std::chrono::milliseconds(300);
    std::size_t entries_per_message = 256;
};

} // namespace kingcupcart::quorum
