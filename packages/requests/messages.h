#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "requests/request_profile.h"

#include <variant>

/// What the dispatcher is told. One family of small structs.
namespace kingcupcart::requests {

struct request_arrived {
    request_profile profile;
};

/// The first byte of the attempt is about to be handed to a socket.
struct attempt_handed {
    attempt_id attempt;
};

/// The attempt produced output; `produced` counts new tokens, zero for a plain service.
struct attempt_progressed {
    attempt_id attempt;
    tokens produced;
};

/// The attempt's answer is whole.
struct attempt_answered {
    attempt_id attempt;
};

/// How an attempt ended without a whole answer.
enum class attempt_failure {
    /// No connection; nothing was handed over.
    unreachable,
    /// The target said itself that it did not run the request.
    declined,
    /// The connection broke, or the answer was cut short or malformed.
    broken
};

struct attempt_failed {
    attempt_id attempt;
    attempt_failure failure = attempt_failure::broken;
};

struct caller_disconnected {
    request_id request;
};

/// The moment named by `dispatcher::next_wakeup` has come.
struct timer_expired {};

using message = std::variant<request_arrived, attempt_handed, attempt_progressed, attempt_answered,
                             attempt_failed, caller_disconnected, timer_expired>;

} // namespace kingcupcart::requests
