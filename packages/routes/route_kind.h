#pragma once

namespace kingcupcart::routes {

/// Kind of a route's requests; decides whether a request may be retried.
enum class route_kind {
    /// Requests that may run more than once.
    repeatable,
    /// Requests that run at most once for each attempt of the caller.
    at_most_once,
    /// Requests whose response is a stream of events.
    stream,
    /// Batch jobs, whose items run asynchronously.
    batch
};

[[nodiscard]] inline const char* to_string(route_kind kind) {
    switch (kind) {
    case route_kind::repeatable:
        return "repeatable";
    case route_kind::at_most_once:
        return "at-most-once";
    case route_kind::stream:
        return "stream";
    case route_kind::batch:
        return "batch";
    }
    return "?";
}

} // namespace kingcupcart::routes
