#pragma once

#include "requests/messages.h"

#include <functional>

namespace kingcupcart::http {
class client;
}

namespace kingcupcart::entry {

/// What a call needs of the front.
struct call_context {
    http::client& client;
    /// Tells the dispatcher, and carries out what it decides. The call may be over afterwards, but
    /// it is not destroyed before the loop's next turn.
    std::function<void(const requests::message&)> notify;
};

} // namespace kingcupcart::entry
