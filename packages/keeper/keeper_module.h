#pragma once

#include "admin/configuration_order.h"
#include "admin/report.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "keeper/control_calls.h"
#include "keeper/external_protocol.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "task/sender.h"

#include <functional>
#include <memory>

namespace kingcupcart::keeper {

/// The keeper role: replicates the configuration and the other state that must survive failures,
/// and sends accepted changes to the instances that are linked to it.
class keeper_module {
public:
    static outcome<std::unique_ptr<keeper_module>> start(const settings::process_settings& settings,
                                                         const external_protocol& protocol = {});

    ~keeper_module();
    keeper_module(const keeper_module&) = delete;
    keeper_module& operator=(const keeper_module&) = delete;

    [[nodiscard]] endpoint link_address() const;
    [[nodiscard]] task::sender<admin::report_request> reports() const;
    [[nodiscard]] task::sender<admin::configuration_order> orders() const;
    [[nodiscard]] task::sender<control_call> control() const;
    [[nodiscard]] task::sender<admin::configuration_request> configurations() const;

    /// Hands over leadership, and calls `on_drained` on the keeper task when the process may end.
    void begin_stop(std::function<void()> on_drained);
    /// Adds the keepers at these addresses to those that this keeper connects to; none is removed.
    void change_seeds(settings::seeds_changed changed);

private:
    class implementation;
    explicit keeper_module(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl;
};

} // namespace kingcupcart::keeper
