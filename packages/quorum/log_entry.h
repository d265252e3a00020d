#pragma once

#include "base/ids.h"
#include "quorum/member.h"

#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::quorum {

/// Who votes, from the entry on that holds it.
struct membership {
    std::vector<member> voters;
    /// The one whose disk this change replaces, if any: its own word does not count towards the
    /// majority for the change, since the old disk may have voted for somebody.
    instance_id joining;

    friend bool operator==(const membership&, const membership&) = default;
};

/// One entry of the replicated log; it holds a command, a membership, or nothing.
struct log_entry {
    term_number term;
    std::string command;
    std::optional<membership> change;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace kingcupcart::quorum
