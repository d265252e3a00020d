#pragma once

#include "base/ids.h"
#include "quorum/member.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::quorum {

/// The voters of the group, in effect from the log entry that holds it on, committed or not.
struct membership {
    std::vector<member> voters;
    /// The voter that takes the place of a lost disk by this change; empty if none. Its
    /// acknowledgements and votes do not count until the change is committed, since the lost disk
    /// may have voted for another candidate, and that vote is lost.
    instance_id joining;

    friend bool operator==(const membership&, const membership&) = default;
};

/// One entry of the replicated log: a command, a change of membership, or neither (the entry that
/// a new leader appends).
struct log_entry {
    term_number term;
    std::string command;
    std::optional<membership> change;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace kingcupcart::quorum
