#pragma once

#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::quorum {

/// A state in pieces that are small enough to be sent one by one. Shared, since a copy of a large
/// state does not fit beside it; null where it is not at hand.
using snapshot_pieces = std::shared_ptr<const std::vector<std::string>>;

} // namespace kingcupcart::quorum
