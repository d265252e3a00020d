#pragma once

#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::quorum {

/// A snapshot of the state, split into pieces that each fit into one message. Shared, since there
/// is no memory for a second copy of a large state; null if the data is not in memory.
using snapshot_pieces = std::shared_ptr<const std::vector<std::string>>;

} // namespace kingcupcart::quorum
