#pragma once

#include "admin/report.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "settings/process_settings.h"
#include "task/sender.h"

#include <functional>
#include <memory>

namespace kingcupcart::entry {

/// The entry role: takes callers' requests and targets' announcements, routes, and shares targets
/// and configuration with other instances. Two tasks: the front, which owns the sockets to callers
/// and targets and all decisions about requests, and the peers, which own the inner links.
class entry_module {
public:
    /// Starts the tasks; fails where an address can't be bound.
    static outcome<std::unique_ptr<entry_module>> start(const settings::process_settings& settings);

    ~entry_module();
    entry_module(const entry_module&) = delete;
    entry_module& operator=(const entry_module&) = delete;

    [[nodiscard]] endpoint callers_address() const;
    [[nodiscard]] endpoint link_address() const;
    [[nodiscard]] task::sender<admin::report_request> front_reports() const;
    [[nodiscard]] task::sender<admin::report_request> peers_reports() const;

    /// Takes no new work; calls `drained`, on a task's thread, when all that runs has ended.
    void begin_stop(std::function<void()> drained);

private:
    class state;
    explicit entry_module(std::unique_ptr<state> made);
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::entry
