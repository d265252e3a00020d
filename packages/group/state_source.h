#pragma once

#include <functional>
#include <string>

namespace kingcupcart::group {

/// Yields the pieces of a saved state one after another; returns false when there are no more. The
/// state must not change until then.
using state_source = std::function<bool(std::string& piece)>;

} // namespace kingcupcart::group
