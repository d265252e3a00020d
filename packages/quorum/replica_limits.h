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
    /// Entries under way to one follower; what it does not read fills its memory.
    std::size_t entries_in_flight = 512;
    /// The same in bytes, where there is more than one: several of them would not fit beside the
    /// state on a small machine.
    std::size_t bytes_in_flight = 1024UL * 1024;
    /// Commands in one message, in bytes, where there is more than one.
    std::size_t message_bytes = 512UL * 1024;
    /// A follower gets so long to take a piece of a snapshot before it is sent again.
    duration snapshot_time = std::chrono::seconds(1);
    /// Voters to keep. 0: whoever asks becomes a voter.
    std::size_t voters_wanted = 0;
    /// Further members that stay caught up, to replace a voter; the others are only told who leads.
    /// Two, so that another loss can be mended while a new standby catches up.
    std::size_t standbys_wanted = 2;
    /// A voter that is silent for this long may be replaced by a standby. Well above an election,
    /// so that a restart does not change the membership.
    duration absence_limit = std::chrono::milliseconds(2500);
};

} // namespace kingcupcart::quorum
