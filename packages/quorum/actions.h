#pragma once

#include "base/ids.h"
#include "quorum/log_entry.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "quorum/snapshot_pieces.h"

#include <string>
#include <variant>
#include <vector>

/// What a replica wants done, in order. What is kept must be synced before a later message is sent.
/// One family of small structs.
namespace kingcupcart::quorum {

struct persist_vote {
    term_number term;
    /// Empty identifier where no vote was given in the term.
    instance_id voted_for;
};

/// Entries from `first` on replace whatever the log held from there.
struct persist_entries {
    log_index first;
    std::vector<log_entry> entries;
};

struct persist_snapshot {
    log_index index;
    term_number index_term;
    membership voters;
    /// Null where it is the state as it is applied now.
    snapshot_pieces data;
};

struct send_message {
    instance_id to;
    message content;
};

/// The command at this index is agreed.
struct apply_command {
    log_index index;
    std::string command;
};

/// The state is to be replaced by a snapshot's.
struct restore_state {
    snapshot_pieces data;
};

/// This piece of the snapshot that was kept last is to be sent; `data` and `piece_count` are still
/// to be filled in.
struct send_piece {
    instance_id to;
    install_snapshot_request content;
};

struct leadership_changed {
    bool is_leader = false;
};

using action = std::variant<persist_vote, persist_entries, persist_snapshot, send_message,
                            apply_command, restore_state, leadership_changed, send_piece>;
using actions = std::vector<action>;

} // namespace kingcupcart::quorum
