#pragma once

#include "base/clock.h"
#include "requests/outcome_kind.h"

#include <string>

namespace kingcupcart::entry {

inline constexpr const char* outcome_header = "Kingcupcart-Outcome";
inline constexpr const char* request_header = "Kingcupcart-Request";
inline constexpr const char* class_header = "Kingcupcart-Class";
inline constexpr const char* caller_header = "Kingcupcart-Caller";
inline constexpr const char* key_header = "Idempotency-Key";
inline constexpr const char* problem_type = "application/problem+json";
inline constexpr const char* json_type = "application/json";

/// An error response to a caller, as problem details (RFC 9457).
struct problem {
    int status = 0;
    requests::outcome_kind outcome = requests::outcome_kind::not_run;
    /// A fixed identifier such as `queue-full`.
    std::string reason;
    /// An explanation for people; may be empty.
    std::string detail;
    /// Zero if it isn't known when a retry may succeed.
    duration retry_after{};

    /// The `application/problem+json` body.
    [[nodiscard]] std::string to_json() const;
    /// Whole seconds for the Retry-After header, rounded up.
    [[nodiscard]] std::int64_t retry_after_seconds() const;
};

} // namespace kingcupcart::entry
