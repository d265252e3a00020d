#pragma once

namespace kingcupcart::requests {

/// Outcome of a request as reported to its caller.
enum class outcome_kind {
    /// The caller received the complete response.
    answered,
    /// No part of the request was sent to any target.
    not_run,
    /// The request may have run.
    unknown
};

[[nodiscard]] const char* to_string(outcome_kind kind);

} // namespace kingcupcart::requests
