#pragma once

#include "base/clock.h"
#include "requests/outcome_kind.h"
#include "requests/refusal_reason.h"

namespace kingcupcart::forwarding {

/// Why a forwarded request has no complete response.
struct call_failure {
    requests::outcome_kind outcome = requests::outcome_kind::unknown;
    requests::refusal_reason reason = requests::refusal_reason::target_failed;
    /// Delay after which a retry may succeed; zero if unknown.
    duration retry_after{};
};

} // namespace kingcupcart::forwarding
