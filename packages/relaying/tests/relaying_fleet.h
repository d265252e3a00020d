#pragma once

#include "base/system_clock.h"
#include "http/caller_budget.h"
#include "relaying/relay_client.h"
#include "relaying/relay_server.h"
#include "relaying/relayed_exchange.h"
#include "task/event_loop.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::relaying {

/// The system's clock, which a test can set forward.
class shifted_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return this->system.now() + this->shift; }
    void advance(duration step) { this->shift += step; }

private:
    system_clock system;
    duration shift{};
};

/// A gateway that forwards calls for others. Its calls are answered by the test.
class test_relay {
public:
    struct received_call {
        wire::relayed_call_request request;
        std::shared_ptr<relayed_exchange> exchange;
        bool is_cancelled = false;
    };

    test_relay(const clock& time, std::string id, std::size_t max_calls,
               std::shared_ptr<http::caller_budget> budget);

    [[nodiscard]] wire::relay_candidate candidate() const;
    void stop() { this->server.reset(); }

    instance_id id;
    telemetry::metric_set metrics;
    /// In order of arrival; a call stays at its address.
    std::deque<received_call> calls;
    std::size_t idle_count = 0;
    std::unique_ptr<relay_server> server;
};

/// A caller of the gateway that is cut off, and what it got.
struct test_call {
    std::unique_ptr<relay_client::call> handle;
    bool is_sent = false;
    bool is_stream = false;
    std::optional<http::response_head> head;
    std::vector<std::string> parts;
    std::string body;
    std::optional<relay_result> result;
    std::string reason;
    duration retry_after{};
};

/// A gateway that is cut off, its relays and a keeper that names them, with links on loopback in
/// one event loop.
class relaying_fleet {
public:
    relaying_fleet();
    ~relaying_fleet();
    relaying_fleet(const relaying_fleet&) = delete;
    relaying_fleet& operator=(const relaying_fleet&) = delete;

    /// Starts a relay, and has the keeper name it.
    test_relay& add_relay(const std::string& id, std::size_t max_calls = 256,
                          std::shared_ptr<http::caller_budget> budget = nullptr);
    /// Has the keeper name an instance that was not started here.
    void name(const std::string& id, const endpoint& address);
    std::unique_ptr<test_call> start(const wire::relayed_call_request& request,
                                     const std::vector<instance_id>& passed_over = {});
    /// Handles events until the condition holds; returns whether it does in time.
    bool run_until(const std::function<bool()>& condition,
                   duration max_time = std::chrono::seconds(5));
    /// Handles events for this time.
    void run_for(duration time);
    [[nodiscard]] double metric(const std::string& name) const;

    task::event_loop loop;
    shifted_clock time;
    telemetry::metric_set metrics;
    std::map<std::string, std::unique_ptr<test_relay>> relays;
    std::vector<wire::relay_candidate> candidates;
    bool is_keeper_reachable = true;
    bool does_keeper_answer = true;
    std::size_t lookups = 0;
    /// Iterations of the event loop.
    std::size_t iterations = 0;
    std::unique_ptr<relay_client> client;

private:
    std::deque<wire::relay_lookup_response> responses;
    std::unique_ptr<task::wakeup> answer;
};

/// A request of the service "app".
wire::relayed_call_request make_request(const std::string& name, std::string body = "hello");

} // namespace kingcupcart::relaying
