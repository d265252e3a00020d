#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::quorum {

/// Timing and flow control of a replica. The election timeout has to be many times the network
/// delay between members.
struct replica_limits {
    duration heartbeat_interval = std::chrono::milliseconds(100);
    duration min_election_timeout = std::chrono::milliseconds(500);
    duration max_election_timeout = std::chrono::milliseconds(1000);
    /// How often a member that is not a voter sends a join request.
    duration join_interval = std::chrono::milliseconds(300);
    std::size_t max_entries_per_message = 256;
    /// The limit of unacknowledged entries to one follower. Messages that the follower does not
    /// read take up the leader's memory.
    std::size_t max_entries_in_flight = 512;
    /// The limit of unacknowledged bytes to one follower. Sending stops once it is reached, so that
    /// a single larger entry can still be sent. More would not fit into the memory of a small
    /// machine beside the state.
    std::size_t max_bytes_in_flight = 1024UL * 1024;
    /// Bytes of commands in one message; no command is added once it is reached, so that a single
    /// larger command can still be sent.
    std::size_t max_message_bytes = 512UL * 1024;
    /// A snapshot is taken once the log has grown by this size since the last one, or by half the
    /// size of that snapshot where that is more. The log since the snapshot is held in memory,
    /// which limits the growth; rewriting a large state too often would stall the group.
    std::size_t snapshot_growth_bytes = 12UL * 1024 * 1024;
    /// While a follower catches up, the next snapshot waits until the log has grown by this much
    /// more, since the follower would have to start anew. Beyond it the follower does.
    std::size_t postponed_growth_bytes = 12UL * 1024 * 1024;
    /// The limit of unacknowledged bytes to one follower that receives a snapshot, or to a learner.
    /// Sending stops once it is reached. At 60 ms for the way there and back it allows 35 MB/s.
    std::size_t max_catch_up_bytes_in_flight = 2UL * 1024 * 1024;
    /// If a follower has acknowledged no snapshot piece for this time, the first one that it lacks
    /// is sent again.
    duration snapshot_piece_timeout = std::chrono::seconds(1);
    /// How often the progress of a snapshot to a follower is reported at most.
    duration progress_report_interval = std::chrono::seconds(1);
    /// The number of voters to maintain; 0 makes every member that asks to join a voter.
    std::size_t desired_voters = 0;
    /// The number of learners that receive the log, so that they can replace a voter; further
    /// members receive only heartbeats. With two, another voter can be replaced while a new standby
    /// catches up.
    std::size_t desired_standbys = 2;
    /// A voter that has not responded for this long may be replaced by a standby. Well above the
    /// election timeout, so that a restart does not change the membership.
    duration absence_timeout = std::chrono::milliseconds(2500);
};

} // namespace kingcupcart::quorum
