#pragma once

#include <functional>
#include <string>

namespace kingcupcart::group {

/// The pieces of a state, one after the other; false once there is none. The state must not change
/// meanwhile.
using state_source = std::function<bool(std::string& piece)>;

} // namespace kingcupcart::group
