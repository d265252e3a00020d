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

struct service_options {
    target_options target;
    /// Time from a request to its answer.
    duration delay{};
};

/// A plain service for tests. It writes each run of a request to standard output as
/// `run METHOD PATH BODY`, so that a test can count runs also after the service was killed, and
/// answers with what it was asked.
class stand_in_service {
public:
    struct leave_request {};
    using message = std::variant<leave_request>;
    using parameters = service_options;

    static outcome<std::unique_ptr<stand_in_service>> open(const service_options& options);
    ~stand_in_service();
    stand_in_service(const stand_in_service&) = delete;
    stand_in_service& operator=(const stand_in_service&) = delete;

    void handle(message incoming);
    [[nodiscard]] const endpoint& address() const { return this->server->address(); }
    /// Calls back once everything that runs is answered and sent.
    void finish(std::function<void()> done) { this->server->begin_stop(std::move(done)); }

private:
    struct open_call {
        std::unique_ptr<http::exchange> exchange;
        std::unique_ptr<task::wakeup> timer;
    };

    explicit stand_in_service(const service_options& options);
    void arrived(std::unique_ptr<http::exchange> exchange);
    void answer(std::uint64_t number);

    service_options options;
    announcer announcing;
    std::map<std::uint64_t, open_call> open_calls;
    std::uint64_t last_call = 0;
    std::vector<std::unique_ptr<task::wakeup>> retired;
    std::unique_ptr<http::server> server;
};

} // namespace kingcupcart::stand_ins
