#pragma once

#include "base/ids.h"
#include "quorum/log_entry.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "quorum/snapshot_pieces.h"

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

/// Sends one piece of the latest stored snapshot. The caller fills in `content.data` and
/// `content.piece_count`.
struct send_snapshot_piece {
    instance_id to;
    install_snapshot_request content;
};

struct leadership_changed {
    bool is_leader = false;
};

using action = std::variant<persist_vote, persist_entries, persist_snapshot, send_message,
                            apply_command, restore_state, leadership_changed, send_snapshot_piece>;
using actions = std::vector<action>;

} // namespace kingcupcart::quorum
