#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "requests/request_profile.h"

#include <variant>

/// Messages that the dispatcher handles.
namespace kingcupcart::requests {

struct request_arrived {
    request_profile profile;
};

/// The first byte of the attempt is about to be written to a socket.
struct attempt_write_started {
    attempt_id attempt;
};

/// A new connection to the attempt's target was established.
struct attempt_opened {
    attempt_id attempt;
    /// Time that the connection took to open.
    duration opening{};
};

/// The first byte of the response arrived.
struct attempt_reached {
    attempt_id attempt;
};

/// The target's system does not acknowledge what was written to the connection.
struct attempt_silent {
    attempt_id attempt;
};

/// The attempt produced output. `produced` is the number of new tokens; zero for a service that
/// does not stream tokens.
struct attempt_progressed {
    attempt_id attempt;
    tokens produced;
};

/// The attempt pauses because the caller reads its stream slowly, or continues.
struct attempt_paused {
    attempt_id attempt;
    bool is_paused = false;
};

/// The attempt's response is complete.
struct attempt_completed {
    attempt_id attempt;
};

/// How an attempt ended without a complete response.
enum class attempt_failure {
    /// No connection was established, and nothing was sent.
    unreachable,
    /// The target, or the instance that was to relay the request, reported that it did not run.
    declined,
    /// The response was malformed, or the attempt failed in another way after it was sent.
    broken,
    /// The connection broke after the request was written, without a whole response; the target may
    /// have ended.
    disconnected,
    /// No instance could be had that relays the request, and nothing was sent.
    no_relay
};

struct attempt_failed {
    attempt_id attempt;
    attempt_failure failure = attempt_failure::broken;
};

struct caller_disconnected {
    request_id request;
};

/// The result of `probe_path`.
struct probe_ended {
    target_id target;
    /// A connection was established.
    bool is_open = false;
    /// Time that it took to open, or until it failed.
    duration opening{};
};

/// The time that `dispatcher::next_wakeup` returned has passed.
struct timer_expired {};

using message =
    std::variant<request_arrived, attempt_write_started, attempt_opened, attempt_reached,
                 attempt_silent, attempt_progressed, attempt_paused, attempt_completed,
                 attempt_failed, caller_disconnected, probe_ended, timer_expired>;

} // namespace kingcupcart::requests
