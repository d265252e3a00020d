#pragma once

#include "base/clock.h"
#include "quorum/log_entry.h"
#include "quorum/member.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages of the consensus protocol between the members of a group. One family of small structs.
namespace kingcupcart::quorum {

struct vote_request {
    term_number term;
    member candidate;
    log_index last_index;
    term_number last_term;
    /// Asks only whether the receiver would grant its vote; a grant is not binding.
    bool is_pre_vote = false;
};

struct vote_response {
    term_number term;
    member voter;
    bool is_granted = false;
    bool is_pre_vote = false;
};

struct append_entries_request {
    term_number term;
    member leader;
    log_index previous_index;
    term_number previous_term;
    std::vector<log_entry> entries;
    log_index committed;
    /// By the leader's clock. The follower returns it, so that a response that the leader reads
    /// late is no proof of recent contact.
    time_point sent_at{};
};

struct append_entries_response {
    term_number term;
    member follower;
    bool is_accepted = false;
    /// If accepted, the last index at which the follower's log matches the leader's; if rejected,
    /// an index from which the leader may retry.
    log_index match;
    /// The request's `sent_at`.
    time_point request_sent_at{};
};

/// One piece of a snapshot. `index` and `index_term` belong to the last entry that the snapshot
/// covers.
struct install_snapshot_request {
    term_number term;
    member leader;
    log_index index;
    term_number index_term;
    membership voters;
    std::uint64_t piece = 0;
    std::uint64_t piece_count = 0;
    std::string data;
    /// As in `append_entries_request`.
    time_point sent_at{};
};

/// The number of pieces of the snapshot that the follower has received; the leader sends the piece
/// after them next.
struct install_snapshot_response {
    term_number term;
    member follower;
    log_index index;
    std::uint64_t pieces_received = 0;
    /// The request's `sent_at`.
    time_point request_sent_at{};
};

/// Sent by a member that is not a voter, to join the group as a learner.
struct join_request {
    member joining;
};

/// Sent by a leader that gives up its leadership, so that the others need not wait for an election
/// timeout. The successor starts an election at once.
struct resignation {
    term_number term;
    member leader;
    /// Empty if no other voter has recent contact.
    instance_id successor;
};

using message =
    std::variant<vote_request, vote_response, append_entries_request, append_entries_response,
                 install_snapshot_request, join_request, install_snapshot_response, resignation>;

} // namespace kingcupcart::quorum
