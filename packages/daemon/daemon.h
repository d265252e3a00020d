#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "daemon/external_protocols.h"
#include "settings/process_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::daemon {

/// One instance with the roles that its settings list. `kingcupcartd` is a thin wrapper around this
/// class; another program can embed it to run an instance in its own process.
class daemon {
public:
    /// Starts all tasks. Fails if an address can't be bound or a role can't start. `protocols` is
    /// used by the roles of a fleet only.
    static outcome<std::unique_ptr<daemon>> start(const settings::process_settings& settings,
                                                  const external_protocols& protocols = {});
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Applies the settings that can change at run time: the seeds of a fleet.
    void apply(const settings::process_settings& changed);
    /// Reports not ready from now on, and closes connections after their response; requests are
    /// still accepted, unless they are not expected to end by `deadline`.
    void announce_stop(time_point deadline);
    /// Stops accepting work; requests that are open get their final response by `deadline`, and
    /// members of replicated groups hand over their leadership. Calls `drained` once, on the thread
    /// of a task, when every role is done.
    void begin_stop(time_point deadline, const std::function<void()>& drained);

    /// Bound addresses, with the actual port where the settings give port 0. Empty for a role that
    /// this instance does not have.
    [[nodiscard]] endpoint admin_address() const;
    [[nodiscard]] std::optional<endpoint> callers_address() const;
    [[nodiscard]] std::optional<endpoint> entry_link_address() const;
    [[nodiscard]] std::optional<endpoint> keeper_link_address() const;
    /// The line for standard output: `ready callers=… entry=… keeper=… admin=…`.
    [[nodiscard]] std::string ready_line() const;

private:
    class state;
    explicit daemon(std::unique_ptr<state> created);
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::daemon
