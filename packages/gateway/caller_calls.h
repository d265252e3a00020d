#pragma once

#include "accounts/credentials.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "streams/stream_id.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>

/// Calls that callers make to a gateway, independent of the external protocol.
namespace kingcupcart::gateway {

/// A load balancer polls whether this gateway accepts callers.
struct readiness_call {};

/// A request for the service that its host and path select. Submits a batch job if that is a batch
/// route.
struct routed_call {
    std::string host;
    /// Path without its query.
    std::string path;
    /// The caller's identifier of this attempt.
    std::string request_name;
    /// How long the caller waits; empty if the caller sets no limit.
    std::optional<duration> max_wait;
    /// Number of the last event of the stream that the caller has received; 0 for a stream from the
    /// start.
    std::size_t resume_after = 0;
    /// The stream that the request continues; empty for a new stream, or if the caller does not say
    /// which one it continues.
    streams::stream_id resumes;
    /// Size of the prompt; zero if the caller does not state it.
    tokens prompt;
    accounts::credentials credentials;
};

struct read_results_call {
    job_id job;
    /// Position in the list of results from which on to read.
    std::size_t after = 0;
    /// How long to wait for a result, if there is none from `after` on.
    std::chrono::milliseconds max_wait{};
    accounts::credentials credentials;
};

struct item_body_call {
    job_id job;
    item_id item;
    accounts::credentials credentials;
};

struct end_job_call {
    job_id job;
    accounts::credentials credentials;
};

/// A call to the gateway's own interface that is unknown or can't be parsed.
struct malformed_call {
    std::string reason;
};

using caller_call = std::variant<readiness_call, routed_call, read_results_call, item_body_call,
                                 end_job_call, malformed_call>;

} // namespace kingcupcart::gateway
