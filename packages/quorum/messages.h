#pragma once

#include "quorum/log_entry.h"
#include "quorum/member.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What keepers say to each other about the log. One family of small structs.
namespace kingcupcart::quorum {

struct vote_asked {
    term_number term;
    member candidate;
    log_index last_index;
    term_number last_term;
    /// Only asks whether an election would succeed; promises nothing.
    bool is_trial = false;
};

struct vote_told {
    term_number term;
    member voter;
    bool is_granted = false;
    bool is_trial = false;
};

struct entries_sent {
    term_number term;
    member leader;
    log_index previous_index;
    term_number previous_term;
    std::vector<log_entry> entries;
    log_index committed;
};

struct entries_told {
    term_number term;
    member follower;
    bool is_taken = false;
    /// Last index that agrees with the leader's log; where not taken, a hint to go back to.
    log_index match;
};

/// One piece of a snapshot.
struct snapshot_sent {
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
struct snapshot_told {
    term_number term;
    member follower;
    log_index index;
    std::uint64_t pieces_taken = 0;
};

/// A keeper that is no voter asks to become one.
struct join_asked {
    member joining;
};

using message = std::variant<vote_asked, vote_told, entries_sent, entries_told, snapshot_sent,
                             join_asked, snapshot_told>;

} // namespace kingcupcart::quorum
