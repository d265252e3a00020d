#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "paths/path_change.h"
#include "requests/outcome_kind.h"
#include "requests/refusal_reason.h"
#include "routing/route_choice.h"

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

/// Actions that the dispatcher returns and its caller executes in order.
namespace kingcupcart::requests {

enum class send_cause { first, retry, hedge, resume, moved };

[[nodiscard]] const char* to_string(send_cause cause);

/// Send the request to the target. The caller already received the first `resume_after` tokens.
struct send_attempt {
    request_id request;
    attempt_id attempt;
    target_id target;
    tokens resume_after;
    send_cause cause = send_cause::first;
    routing::route_choice choice;
    /// Time after which a connection that has not opened counts as failed.
    duration open_timeout{};
};

/// Have another instance forward the request to a target of the backend. The caller already
/// received the first `resume_after` tokens.
struct relay_attempt {
    request_id request;
    attempt_id attempt;
    tokens resume_after;
    /// The version that the rest of the stream has to come from; empty if any may serve.
    std::optional<software_version> software;
    backend_name backend;
    /// Targets that the other instance may send the request to.
    std::size_t max_attempts = 0;
};

/// Open a connection to the target, send nothing and report the result as `probe_ended`.
struct probe_path {
    target_id target;
    /// Time after which a connection that has not opened counts as failed.
    duration open_timeout{};
};

/// Paths to targets were lost or regained, or `dispatcher::cut_off_backends` has changed.
struct paths_changed {
    std::vector<paths::path_change> changes;
};

/// Forward this attempt's output to the caller from now on.
struct select_attempt {
    request_id request;
    attempt_id attempt;
};

/// The first event of a resumable stream is about to reach the caller, so the rest of the stream
/// has to come from the same software version. The version is empty if what was bound turned out to
/// be unknown; the stream can't go on then.
struct bind_stream {
    request_id request;
    attempt_id attempt;
    target_id target;
    std::optional<software_version> software;
};

/// Abort the attempt at its target. The dispatcher ignores further messages about it.
struct cancel_attempt {
    attempt_id attempt;
};

/// The selected attempt's response is complete: finish the caller's response.
struct complete_request {
    request_id request;
};

/// Reject the request; the caller gets the outcome and the reason.
struct refuse_request {
    request_id request;
    outcome_kind outcome = outcome_kind::unknown;
    refusal_reason reason = refusal_reason::target_failed;
    /// Delay after which a retry may succeed; zero if unknown.
    duration retry_after{};
    /// Set if the reason is `rate_limited`: the target whose permit the request would get first.
    target_id limited_target = target_id();
};

using action =
    std::variant<send_attempt, relay_attempt, select_attempt, bind_stream, cancel_attempt,
                 complete_request, refuse_request, probe_path, paths_changed>;
using actions = std::vector<action>;

} // namespace kingcupcart::requests
