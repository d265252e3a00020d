#pragma once

#include <cstddef>

namespace kingcupcart::gateway {

/// Tells whether a request to the stores may have been executed, over all the sends of it.
///
/// A store that reports that it does not lead has not executed the send that it answers. That says
/// nothing of an earlier send, to this store or another one, that was never answered.
class send_history {
public:
    void sent() { ++this->unresolved_sends; }
    /// A store reported that it did not execute the request.
    void declined() {
        if (this->unresolved_sends > 0) {
            --this->unresolved_sends;
        }
    }
    [[nodiscard]] bool may_have_run() const { return this->unresolved_sends > 0; }

private:
    std::size_t unresolved_sends = 0;
};

} // namespace kingcupcart::gateway
