#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace kingcupcart::http {

class caller_budget;

} // namespace kingcupcart::http

namespace kingcupcart::telemetry {

class metric_set;

} // namespace kingcupcart::telemetry

namespace kingcupcart::relaying {

class relayed_exchange;

/// Accepts links from other gateways, and their calls. Runs on the event loop of the thread that
/// opened it.
class relay_server {
public:
    struct parameters {
        /// Listening address for links. Port 0 selects a free port.
        endpoint address;
        const clock* time = nullptr;
        /// Creates the first message on each new link.
        std::function<wire::hello()> make_hello;
        telemetry::metric_set* metrics = nullptr;
        std::function<void(wire::relayed_call_request, std::shared_ptr<relayed_exchange>)> on_call;
        /// Nothing is open any more.
        std::function<void()> on_idle;
        /// Further calls are refused as not run.
        std::size_t max_calls = 256;
        /// Counts what is held for the calls, and ends those that hold too much; may be null.
        std::shared_ptr<http::caller_budget> budget = nullptr;
    };

    /// Fails with `input_output` if the address can't be bound.
    static outcome<std::unique_ptr<relay_server>> open(parameters arguments);
    /// Closes the links; calls in progress end as cancelled.
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    /// The bound address, with the actual port.
    [[nodiscard]] const endpoint& address() const;
    /// Calls whose end the other side has not acknowledged. After `begin_stop` also links that the
    /// other side has not closed, over which a call may be on its way.
    [[nodiscard]] std::size_t open_count() const;
    /// Refuses new links, and new calls as not run; those in progress go on.
    void begin_stop();

private:
    class shared_state;
    explicit relay_server(std::shared_ptr<shared_state> created);
    std::shared_ptr<shared_state> impl;
};

} // namespace kingcupcart::relaying
