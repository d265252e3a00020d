#pragma once

#include "requests/messages.h"

#include <functional>

namespace kingcupcart::http {
class client;
}

namespace kingcupcart::entry {

/// The services of the frontend that a call uses.
struct call_context {
    http::client& client;
    /// Passes a message to the dispatcher and executes the actions that it returns. The call may
    /// have ended afterwards, but isn't destroyed before the next iteration of the event loop.
    std::function<void(const requests::message&)> dispatch;
};

} // namespace kingcupcart::entry
