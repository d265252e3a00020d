#pragma once

#include "base/clock.h"
#include "fleet/stream_records.h"
#include "forwarding/response_callbacks.h"
#include "gateway/caller_calls.h"
#include "gateway/caller_protocol.h"
#include "http/exchange.h"
#include "telemetry/metric_set.h"

#include <memory>
#include <string>

namespace kingcupcart::gateway {

/// Sends callers their responses, and refusals.
class caller_responder {
public:
    struct parameters {
        caller_protocol protocol;
        /// Records where the streams that are passed on have begun.
        fleet::stream_records* streams = nullptr;
        telemetry::metric_set* metrics = nullptr;
    };

    explicit caller_responder(const parameters& arguments) : params(arguments) {}

    /// `name` is the caller's identifier of its attempt.
    void refuse(http::exchange& exchange, const std::string& name, const refusal& details) const;
    /// `outcome` says in the log and in the metrics why the stream is not taken up.
    void refuse_take_up(http::exchange& exchange, const routed_call& call, const char* outcome,
                        const refusal& details) const;
    /// Callbacks that send the response to the caller. `timeout` is that of the call's route. They
    /// refer to this object.
    [[nodiscard]] forwarding::response_callbacks
    respond_to(const std::shared_ptr<http::exchange>& exchange, const routed_call& call,
               duration timeout) const;

private:
    parameters params;
};

} // namespace kingcupcart::gateway
