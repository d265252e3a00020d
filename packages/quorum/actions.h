#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "quorum/log_entry.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "quorum/snapshot_pieces.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The actions that a replica returns, for its caller to execute in order. What an action persists
/// must be synced to disk before a later message is sent. One family of small structs.
namespace kingcupcart::quorum {

struct persist_vote {
    term_number term;
    /// Empty if the replica has not voted in this term.
    instance_id voted_for;
};

/// The stored log is truncated before `first`, and these entries are appended to it.
struct persist_entries {
    log_index first;
    std::vector<log_entry> entries;
};

struct persist_snapshot {
    log_index index;
    term_number index_term;
    membership voters;
    /// Null for a snapshot of the state machine's current state.
    snapshot_pieces data;
};

struct send_message {
    instance_id to;
    message content;
};

/// The command at this index is committed and is applied to the state machine.
struct apply_command {
    log_index index;
    std::string command;
};

/// The state machine's state is replaced by the state of a snapshot.
struct restore_state {
    snapshot_pieces data;
};

/// Sends one piece of the latest stored snapshot. The caller fills in `content.data`.
struct send_snapshot_piece {
    instance_id to;
    install_snapshot_request content;
};

struct leadership_changed {
    bool is_leader = false;
};

enum class voters_change_reason {
    bootstrap,
    /// A member asked to join while the group had fewer voters than desired.
    joined,
    /// Stands in for a voter that is absent or leaving, which the next change removes.
    standby_added,
    absent_or_leaving_removed,
    /// The absent voter has returned.
    surplus_removed,
    /// The disk of a voter was lost; the joining member takes its place.
    disk_replaced,
    /// The joining member counts towards majorities from here on.
    replacement_finished,
};

/// This leader has appended a change of the voters to its log.
struct voters_changed {
    log_index index;
    membership changed;
    voters_change_reason reason{};
};

/// A voter has returned with another disk, so the one that is counted as its disk is lost.
struct disk_lost {
    member counted;
    member returned;
};

/// How far a follower that is sent a snapshot has got.
struct snapshot_progress {
    enum class phase_kind { begun, in_progress, ended };

    instance_id to;
    log_index index;
    phase_kind phase{};
    std::uint64_t pieces_received = 0;
    std::uint64_t piece_count = 0;
    std::size_t bytes_received = 0;
    /// Since the first piece was sent.
    duration elapsed{};
};

using action = std::variant<persist_vote, persist_entries, persist_snapshot, send_message,
                            apply_command, restore_state, leadership_changed, send_snapshot_piece,
                            voters_changed, disk_lost, snapshot_progress>;
using actions = std::vector<action>;

} // namespace kingcupcart::quorum
