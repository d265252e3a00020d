#pragma once

#include "base/clock.h"
#include "base/request_fingerprint.h"
#include "engines/forwarded_request.h"
#include "forwarding/response_callbacks.h"
#include "forwarding/stream_origin.h"

#include <optional>
#include <string>

namespace kingcupcart::forwarding {

/// A request that is to be forwarded to a target of a route.
struct call_parameters {
    /// The identifier that the request carries, which responses repeat.
    std::string name;
    /// `is_repeatable` and `time_left` are set from the route and from `max_wait`.
    engines::forwarded_request request;
    /// What makes this request the same as an earlier one; empty if it is not subject to
    /// quarantine.
    std::optional<request_fingerprint> fingerprint;
    /// Time until the caller gives up; the route's timeout applies if it is shorter.
    duration max_wait{};
    /// Set if the request continues a stream: it is sent only there.
    std::optional<stream_origin> origin;
    response_callbacks notify;
};

} // namespace kingcupcart::forwarding
