#pragma once

namespace kingcupcart::requests {

/// Why a request received no response.
enum class refusal_reason {
    queue_full,
    would_be_late,
    deadline_passed,
    no_target,
    /// All targets are limited, and no permit is expected in time.
    rate_limited,
    unknown_class,
    target_unreachable,
    target_failed,
    stopping,
    /// Targets have ended under this request.
    quarantined,
    /// The version of the stream's software is not known.
    unknown_software,
    /// This instance reaches no target of the backend, and no other instance took the request.
    no_path,
    /// The request has content that can't be sent to any target.
    unsendable
};

[[nodiscard]] const char* to_string(refusal_reason reason);
/// Whether the reason lies in the request, or in a limit that targets name for all instances
/// together, so that it says nothing of the requests that this instance is sent next.
[[nodiscard]] bool concerns_request(refusal_reason reason);

} // namespace kingcupcart::requests
