#pragma once

#include "base/clock.h"

#include <string>

namespace kingcupcart::gateway {

/// Why a caller gets no response from a target or a store.
enum class refusal_kind {
    /// The request did not run and never will; the caller may send it again after `retry_after`.
    not_run,
    /// The request may have run: the target, or the connection to it, failed.
    failed,
    /// The request may have run, and its deadline has passed.
    too_late,
    /// No route matches the request's host and path.
    no_route,
    /// The request can't be parsed.
    malformed,
    /// The job or item does not exist.
    missing,
    /// The request states no key of an account.
    unauthorized
};

[[nodiscard]] inline const char* to_string(refusal_kind kind) {
    switch (kind) {
    case refusal_kind::not_run:
        return "not-run";
    case refusal_kind::failed:
        return "failed";
    case refusal_kind::too_late:
        return "too-late";
    case refusal_kind::no_route:
        return "no-route";
    case refusal_kind::malformed:
        return "malformed";
    case refusal_kind::missing:
        return "missing";
    case refusal_kind::unauthorized:
        return "unauthorized";
    }
    return "?";
}

struct refusal {
    refusal_kind kind = refusal_kind::failed;
    /// Human-readable; not meant to be parsed.
    std::string reason;
    duration retry_after{};
};

} // namespace kingcupcart::gateway
