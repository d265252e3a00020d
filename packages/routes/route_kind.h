#pragma once

namespace kingcupcart::routes {

/// What a route carries, which decides what may be repeated.
enum class route_kind {
    /// Requests that may run more than once.
    repeatable,
    /// Requests that run once at most for each attempt of the caller.
    at_most_once,
    /// Answers that are a stream of events.
    stream,
    /// Batch jobs, whose items run later.
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
