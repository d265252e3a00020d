#pragma once

#include "quorum/log_entry.h"
#include "quorum/member.h"

#include <cstddef>
#include <vector>

namespace kingcupcart::quorum {

/// The state that a replica has persisted, as it is read at start.
struct stored_state {
    term_number term;
    instance_id voted_for;
    log_index snapshot_index;
    term_number snapshot_term;
    membership snapshot_voters;
    /// Sizes of the snapshot's pieces, in bytes.
    std::vector<std::size_t> snapshot_piece_bytes;
    /// The entries after the snapshot.
    std::vector<log_entry> entries;
};

} // namespace kingcupcart::quorum
