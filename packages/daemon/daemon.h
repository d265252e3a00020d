#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "daemon/external_protocols.h"
#include "settings/process_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::daemon {

/// One process of the system with the roles that its settings name. Embed it to run an instance
/// inside another program; `kingcupcartd` is little more than this class.
class daemon {
public:
    /// `ports` are needed for the roles of a fleet only.
    static outcome<std::unique_ptr<daemon>> start(const settings::process_settings& settings,
                                                  const external_protocols& ports = {});
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Takes over what can change while it runs: the seeds of a fleet.
    void apply(const settings::process_settings& changed);
    /// Readiness goes; everything is served as before.
    void announce_stop();
    /// No new work is taken; `drained` is called, on a task's thread, when all that runs has ended.
    void begin_stop(std::function<void()> drained);

    [[nodiscard]] endpoint admin_address() const;
    [[nodiscard]] std::optional<endpoint> callers_address() const;
    [[nodiscard]] std::optional<endpoint> entry_link_address() const;
    [[nodiscard]] std::optional<endpoint> keeper_link_address() const;
    /// `ready callers=… entry=… keeper=… admin=…`, for standard output.
    [[nodiscard]] std::string ready_line() const;

private:
    class state;
    explicit daemon(std::unique_ptr<state> made);
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::daemon
