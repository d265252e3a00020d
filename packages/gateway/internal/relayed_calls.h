#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/header_field.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "fleet/keeper_client.h"
#include "forwarding/forwarder.h"
#include "http/caller_budget.h"
#include "relaying/relay_server.h"
#include "relaying/relayed_exchange.h"
#include "routes/route.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace kingcupcart::gateway {

/// Calls that other gateways pass on to this one because they reach no target themselves. Each is
/// forwarded by this gateway's own routes, and never passed on again.
class relayed_calls {
public:
    struct parameters {
        /// Listening address for links from other gateways.
        endpoint address;
        /// Calls in progress, above which further ones are refused.
        std::size_t max_calls = 0;
        const clock* time = nullptr;
        std::function<wire::hello()> make_hello;
        telemetry::metric_set* metrics = nullptr;
        fleet::keeper_client* fleet = nullptr;
        forwarding::forwarder* forwarder = nullptr;
        /// See `engines::target_protocol::name_account`.
        void (*name_account)(std::vector<header_field>&, const account_name&) = nullptr;
        /// The last open call has ended.
        std::function<void()> on_idle;
        /// Memory of callers, shared with the servers of the task; null if it is not limited.
        std::shared_ptr<http::caller_budget> budget = nullptr;
    };

    /// Fails with `input_output` if the address can't be bound.
    static outcome<std::unique_ptr<relayed_calls>> open(parameters arguments);
    relayed_calls(const relayed_calls&) = delete;
    relayed_calls& operator=(const relayed_calls&) = delete;
    ~relayed_calls();

    /// The bound address, with the actual port.
    [[nodiscard]] const endpoint& address() const;
    /// Refuses new calls as not run; those in progress go on.
    void begin_stop();
    /// Calls whose end the other gateway has not received.
    [[nodiscard]] std::size_t open_count() const;

private:
    using exchange_pointer = std::shared_ptr<relaying::relayed_exchange>;

    explicit relayed_calls(parameters arguments);
    void handle(wire::relayed_call_request request, const exchange_pointer& exchange);
    void forward(wire::relayed_call_request request, const exchange_pointer& exchange,
                 const routes::route& route);
    /// Refuses a call that was not forwarded.
    void decline(const wire::relayed_call_request& request, relaying::relayed_exchange& exchange,
                 const char* reason);
    /// Callbacks that send the response to the other gateway.
    [[nodiscard]] forwarding::response_callbacks
    respond_to(const exchange_pointer& exchange, const wire::relayed_call_request& request,
               duration timeout);
    void count(const char* outcome);

    parameters params;
    std::unique_ptr<relaying::relay_server> server;
};

} // namespace kingcupcart::gateway
