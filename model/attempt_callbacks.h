#pragma once

#include <functional>

namespace kingcupcart::model {

/// Callbacks of one attempt at a simulated engine: `on_token` for each token that it generates,
/// then `on_complete` once.
struct attempt_callbacks {
    std::function<void()> on_token;
    std::function<void()> on_complete;
};

} // namespace kingcupcart::model
