#pragma once

#include "quorum/log_entry.h"
#include "quorum/member.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What keepers say to each other about the log. One family of small structs.
namespace kingcupcart::quorum {

struct vote_request {
    term_number term;
    member candidate;
    log_index last_index;
    term_number last_term;
    /// Only asks whether an election would succeed; promises nothing.
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
};

struct append_entries_response {
    term_number term;
    member follower;
    bool is_taken = false;
    /// Last index that agrees with the leader's log; where not taken, a hint to go back to.
    log_index match;
};

/// One piece of a snapshot.
struct install_snapshot_request {
    term_number term;
    member leader;
    log_index index;
    term_number index_term;
    membership voters;
    std::uint64_t piece = 0;
    std::uint64_t piece_count = 0;
    std::string data;
};

/// How many pieces of the snapshot the follower holds; the leader goes on there.
struct install_snapshot_response {
    term_number term;
    member follower;
    log_index index;
    std::uint64_t pieces_received = 0;
};

/// A keeper that is no voter asks to become one.
struct join_request {
    member joining;
};

using message =
    std::variant<vote_request, vote_response, append_entries_request, append_entries_response,
                 install_snapshot_request, join_request, install_snapshot_response>;

} // namespace kingcupcart::quorum
