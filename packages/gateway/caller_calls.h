#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>

/// What callers ask of a gateway. One family of small structs.
namespace kingcupcart::gateway {

/// A balancer asks whether to send callers here.
struct readiness_call {};

/// A request for the service that its host and path select; a batch job where that is a batch
/// route.
struct routed_call {
    std::string host;
    /// Path without its query.
    std::string path;
    /// The caller's name for this attempt.
    std::string request_name;
    /// How long the caller waits; empty where it does not say.
    std::optional<duration> max_wait;
    /// The last event of the stream that the caller has.
    std::size_t resume_after = 0;
};

struct read_results_call {
    job_id job;
    std::size_t after = 0;
    std::chrono::milliseconds max_wait{};
};

struct item_body_call {
    job_id job;
    item_id item;
};

struct end_job_call {
    job_id job;
};

/// A call to the gateway's own interface that it does not know or can't read.
struct malformed_call {
    std::string reason;
};

using caller_call = std::variant<readiness_call, routed_call, read_results_call, item_body_call,
                                 end_job_call, malformed_call>;

} // namespace kingcupcart::gateway
