#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "base/units.h"
#include "engines/forwarded_request.h"
#include "forwarding/response_callbacks.h"
#include "forwarding/stream_origin.h"
#include "streams/stream_id.h"

#include <cstddef>
#include <optional>
#include <string>

namespace kingcupcart::forwarding {

/// A request that is to be forwarded to a target of a route.
struct call_parameters {
    /// The identifier that the request carries, which responses repeat.
    std::string name;
    /// The host that the caller named; empty if the request is never relayed.
    std::string host;
    /// `is_repeatable` and `time_left` are set from the route and from `max_wait`.
    engines::forwarded_request request;
    /// What makes this request the same as an earlier one; empty if it is not subject to
    /// quarantine.
    std::optional<request_fingerprint> fingerprint;
    /// Time until the caller gives up; the route's timeout applies if it is shorter.
    duration max_wait{};
    /// Set if the request continues a stream: it is sent only there.
    std::optional<stream_origin> origin;
    /// The service of the route that the request is for; empty if the forwarder chooses one. Not
    /// used if there is an origin.
    std::optional<backend_name> service;
    /// The stream that the request continues; empty for a new one.
    streams::stream_id resumes;
    /// Size of the prompt; zero if it is unknown.
    tokens prompt;
    /// Targets that the request may be sent to; 0 for as many as the route allows.
    std::size_t max_attempts = 0;
    /// Another gateway may be asked to forward the request.
    bool may_relay = false;
    /// Another gateway has relayed the request to this one.
    bool is_relayed = false;
    response_callbacks notify;
};

} // namespace kingcupcart::forwarding
