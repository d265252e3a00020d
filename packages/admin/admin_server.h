#pragma once

#include "admin/admin_sources.h"
#include "admin/configuration_order.h"
#include "admin/report.h"
#include "base/endpoint.h"
#include "base/outcome.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace kingcupcart::admin {

/// Serves operators and scrapers: `/healthz`, `/readyz`, `/metrics`, `/status`, `/configuration`.
/// A task handler: it requests reports from the other tasks by message, and responds when all have
/// replied or the time limit has passed.
class admin_server {
public:
    /// A component's report for a pending HTTP request.
    struct report_received {
        std::uint64_t request_id = 0;
        report content;
    };
    /// The keeper's response to a pending HTTP request about the configuration.
    struct order_result_received {
        std::uint64_t request_id = 0;
        order_result result;
    };
    /// A planned stop has started: `/readyz` reports not ready from now on.
    struct stop_started {};
    using message = std::variant<report_received, order_result_received, stop_started>;

    /// Listens on `address`. `inbox` sends to the task that runs this handler.
    static outcome<std::unique_ptr<admin_server>>
    open(const endpoint& address, admin_sources sources, task::sender<message> inbox);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    void handle(message incoming);
    [[nodiscard]] const endpoint& address() const;

private:
    class state;
    explicit admin_server(std::unique_ptr<state> created);
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::admin
