#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "http/response_budget.h"
#include "http/response_head.h"
#include "relaying/relay_client.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::forwarding {

/// An attempt that another gateway makes for this one.
class relayed_attempt {
public:
    struct parameters {
        attempt_id attempt;
        wire::relayed_call_request request;
        /// Relays that have been asked already.
        std::vector<instance_id> passed_over;
        const clock* time = nullptr;
        relaying::relay_client* relays = nullptr;
        telemetry::metric_set* metrics = nullptr;
        /// Memory of the responses; null if it is not limited.
        std::shared_ptr<http::response_budget> budget;
        /// Called before the relay can run the request.
        std::function<void(const instance_id& relay)> on_sent;
        std::function<void(const http::response_head&)> on_head;
        std::function<void(std::string_view)> on_data;
        /// Called once, and no other callback follows.
        std::function<void(relaying::relay_result, const std::string& reason)> on_end;
    };

    explicit relayed_attempt(parameters arguments);
    /// Cancels the attempt at its relay and calls none of the callbacks; callable from within them.
    ~relayed_attempt();
    relayed_attempt(const relayed_attempt&) = delete;
    relayed_attempt& operator=(const relayed_attempt&) = delete;

    void set_paused(bool is_paused);
    /// See `http::client::call::set_held_bytes`.
    void set_held_bytes(std::size_t bytes);

private:
    class state;
    std::shared_ptr<state> impl;
};

} // namespace kingcupcart::forwarding
