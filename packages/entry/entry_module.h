#pragma once

#include "admin/report.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "settings/process_settings.h"
#include "task/sender.h"

#include <functional>
#include <memory>

namespace kingcupcart::entry {

/// The entry role: accepts requests of callers and announcements of targets, routes the requests to
/// targets, and shares targets and the configuration with other instances. It runs two tasks: the
/// frontend, which owns the HTTP sockets to callers and targets and makes all decisions about
/// requests, and the peers task, which owns the links to other instances.
class entry_module {
public:
    /// Starts the tasks. Fails if an address can't be bound.
    static outcome<std::unique_ptr<entry_module>> start(const settings::process_settings& settings);

    ~entry_module();
    entry_module(const entry_module&) = delete;
    entry_module& operator=(const entry_module&) = delete;

    [[nodiscard]] endpoint callers_address() const;
    [[nodiscard]] endpoint link_address() const;
    [[nodiscard]] task::sender<admin::report_request> frontend_reports() const;
    [[nodiscard]] task::sender<admin::report_request> peers_reports() const;

    /// Closes each connection after its response from now on, and refuses requests that are not
    /// expected to end by `deadline`.
    void announce_stop(time_point deadline);
    /// Stops accepting work; open calls get their final response by `deadline`. Calls `on_drained`,
    /// on the frontend's thread, when all calls have ended and the HTTP server is idle.
    void begin_stop(time_point deadline, std::function<void()> on_drained);

private:
    class state;
    explicit entry_module(std::unique_ptr<state> implementation);
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::entry
