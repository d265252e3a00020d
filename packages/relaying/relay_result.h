#pragma once

namespace kingcupcart::relaying {

/// How a relayed call ended.
enum class relay_result {
    /// The whole response arrived.
    complete,
    /// No relay could be reached; the call was not sent.
    no_relay,
    /// The relay has refused the call, which did not run.
    declined,
    /// The link was lost, or the relay's attempt failed; the call may have run.
    broken
};

[[nodiscard]] const char* to_string(relay_result result);

} // namespace kingcupcart::relaying
