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
    no_path
};

[[nodiscard]] const char* to_string(refusal_reason reason);

} // namespace kingcupcart::requests
