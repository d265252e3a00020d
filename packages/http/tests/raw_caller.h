#pragma once

#include "base/endpoint.h"
#include "base/system_clock.h"
#include "http/client.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::http {

/// A client on an event loop of its own, which calls servers that do not keep to the protocol.
struct raw_caller {
    static constexpr duration max_time = std::chrono::seconds(10);

    system_clock time;
    task::event_loop loop;
    std::unique_ptr<client> http_client;
    std::unique_ptr<client::call> call;
    std::unique_ptr<task::wakeup> timeout;
    std::string data;
    /// Status of the response; 0 if no head was received.
    int status = 0;
    std::optional<call_result> end;
    std::string reason;
    bool has_write_started = false;
    /// Time that the connection took to open; empty if none was opened.
    std::optional<duration> opening;
    std::size_t silences = 0;

    explicit raw_caller(duration read_interval = duration::zero(),
                        duration open_timeout = duration::zero()) {
        this->loop.enter();
        // The caller keeps all that it receives.
        response_limits limits;
        limits.budget_bytes = 1024UL * 1024 * 1024;
        this->http_client = std::make_unique<client>(
            this->time, client::parameters{limits, read_interval, nullptr, open_timeout});
        this->timeout = std::make_unique<task::wakeup>([this] { this->loop.quit(); });
    }
    ~raw_caller() {
        this->call.reset();
        this->http_client.reset();
        this->timeout.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;

    /// Sends the request and runs the loop until the call ends, at most for `max_wait`.
    void send(const request& outgoing, duration max_wait = max_time) {
        this->data.clear();
        this->status = 0;
        this->end.reset();
        this->has_write_started = false;
        this->opening.reset();
        this->silences = 0;
        this->timeout->arm(this->time.now() + max_wait);
        this->call = this->http_client->start(
            outgoing, {[this] { this->has_write_started = true; },
                       [this](const response_head& head) { this->status = head.status; },
                       [this](std::string_view part) { this->data += part; },
                       [this](call_result result, const std::string& problem) {
                           this->end = result;
                           this->reason = problem;
                           this->loop.quit();
                       },
                       [this](duration time_taken) { this->opening = time_taken; },
                       [this] { ++this->silences; }});
        if (!this->end) {
            this->loop.run();
        }
    }

    /// Runs the loop for the time, for what happens between two calls.
    void pause_for(duration time_to_wait) {
        this->timeout->arm(this->time.now() + time_to_wait);
        this->loop.run();
    }
};

inline request make_request(const endpoint& server, const std::string& method = "GET",
                            const std::string& target = "/") {
    request outgoing;
    outgoing.method = method;
    outgoing.url = "http://" + server.to_string() + target;
    return outgoing;
}

} // namespace kingcupcart::http
