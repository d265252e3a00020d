#pragma once

namespace kingcupcart::engines {

/// Classification of a response by its head, with respect to the request that it was received for.
enum class response_kind {
    /// The target's response to this request.
    matching,
    /// The target did not run the request and never will.
    not_run,
    /// The response belongs to another request, or is not the target's complete response: the
    /// connection can't be reused, and the request may have run.
    mismatched
};

} // namespace kingcupcart::engines
