#pragma once

namespace kingcupcart::requests {

/// What became of a request, as its caller is told.
enum class outcome_kind {
    /// The whole answer was given.
    answered,
    /// Nothing of the request was handed to any target.
    not_run,
    /// It may have run.
    unknown
};

[[nodiscard]] const char* to_string(outcome_kind kind);

} // namespace kingcupcart::requests
