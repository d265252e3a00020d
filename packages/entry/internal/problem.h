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

/// A refusal as its caller sees it.
struct problem {
    int status = 0;
    requests::outcome_kind outcome = requests::outcome_kind::not_run;
    /// Short and fixed, such as `queue-full`.
    std::string reason;
    /// For a person; may be empty.
    std::string detail;
    /// Zero where it is not known when another try may succeed.
    duration retry_after{};

    /// The problem+json body.
    [[nodiscard]] std::string print() const;
    /// Whole seconds for the Retry-After header, rounded up.
    [[nodiscard]] std::int64_t retry_after_seconds() const;
};

} // namespace kingcupcart::entry
