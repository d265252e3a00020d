#pragma once

#include <functional>

namespace kingcupcart::model {

/// Sides of one attempt that a model tells its caller: one token, and the end of the answer.
struct stream_callbacks {
    std::function<void()> token;
    std::function<void()> end;
};

} // namespace kingcupcart::model
