#pragma once

#include <functional>

namespace kingcupcart::group {

/// A planned stop of the process has started: the member hands over its leadership, and calls
/// `on_drained` on its own thread when it may end.
struct stop_started {
    std::function<void()> on_drained;
};

} // namespace kingcupcart::group
