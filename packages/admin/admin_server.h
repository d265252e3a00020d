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
/// A task handler: it asks the other tasks by message and answers when they have replied.
class admin_server {
public:
    /// A part's report for one of the open exchanges.
    struct report_came {
        std::uint64_t exchange = 0;
        report content;
    };
    struct order_result_came {
        std::uint64_t exchange = 0;
        order_result result;
    };
    /// The instance is about to stop.
    struct stop_began {};
    using message = std::variant<report_came, order_result_came, stop_began>;

    /// `self` gives the sending end of the task that runs this handler.
    static outcome<std::unique_ptr<admin_server>>
    open(const endpoint& address, admin_sources sources, task::sender<message> self);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

    void handle(message incoming);
    [[nodiscard]] const endpoint& address() const;

private:
    class state;
    explicit admin_server(std::unique_ptr<state> made);
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::admin
