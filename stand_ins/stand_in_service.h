#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "http/exchange.h"
#include "http/server.h"
#include "stand_ins/announcer.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace kingcupcart::stand_ins {

/// Options of a stand-in service.
struct service_options {
    target_options target;
    /// Time from a request's arrival to its response.
    duration response_delay{};
};

/// A stand-in for a plain service in tests. It writes a line `run METHOD PATH BODY` to standard
/// output for each request that it runs, so that a test can count the runs even after it killed the
/// service. The response is a JSON object with the service's identifier and the request.
class stand_in_service {
public:
    /// Makes the target announce that it is leaving.
    struct leave_request {};
    using message = std::variant<leave_request>;
    using parameters = service_options;

    /// Listens on a free port of 127.0.0.1 and starts to announce the target. Fails if it can't
    /// listen.
    static outcome<std::unique_ptr<stand_in_service>> open(const service_options& options);
    ~stand_in_service();
    stand_in_service(const stand_in_service&) = delete;
    stand_in_service& operator=(const stand_in_service&) = delete;

    void handle(message incoming);
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }
    /// Stops serving, and calls back once all running responses have been sent.
    void begin_stop(std::function<void()> on_stopped) {
        this->server->begin_stop(std::move(on_stopped));
    }

private:
    struct open_request {
        std::unique_ptr<http::exchange> exchange;
        std::unique_ptr<task::wakeup> timer;
    };

    explicit stand_in_service(const service_options& options);
    void handle_request(std::unique_ptr<http::exchange> exchange);
    void send_response(std::uint64_t request_number);

    service_options options;
    announcer target_announcer;
    std::map<std::uint64_t, open_request> open_requests;
    std::uint64_t last_request_number = 0;
    /// Timers of completed requests: a timer must not be destroyed in its own callback, so the next
    /// request destroys it.
    std::vector<std::unique_ptr<task::wakeup>> pending_deletion;
    std::unique_ptr<http::server> server;
};

} // namespace kingcupcart::stand_ins
