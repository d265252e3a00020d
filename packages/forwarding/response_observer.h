#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "engines/target_protocol.h"
#include "http/response_head.h"

#include <string_view>

namespace kingcupcart::fleet {
class keeper_client;
}

namespace kingcupcart::forwarding {

/// The request that a response answers.
struct observed_request {
    target_id target;
    incarnation_id incarnation;
    /// The identifier that the request was sent with.
    std::string_view name;
    time_point sent_at{};
};

/// Records what a target says of itself in a response, whatever the response is: that it is leaving
/// and the rate of requests that it takes.
void observe_response(fleet::keeper_client& fleet, const engines::target_protocol& protocol,
                      const observed_request& request, const http::response_head& head);

} // namespace kingcupcart::forwarding
