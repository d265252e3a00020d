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

#include <memory>

namespace kingcupcart::keeper {

/// The keeper role: holds what must survive, and tells entry instances what was accepted.
class keeper_module {
public:
    static outcome<std::unique_ptr<keeper_module>> start(const settings::process_settings& settings,
                                                         const external_protocol& outer = {});

    ~keeper_module();
    keeper_module(const keeper_module&) = delete;
    keeper_module& operator=(const keeper_module&) = delete;

    [[nodiscard]] endpoint link_address() const;
    [[nodiscard]] task::sender<admin::report_request> reports() const;
    [[nodiscard]] task::sender<admin::configuration_order> orders() const;
    [[nodiscard]] task::sender<control_call> control() const;
    [[nodiscard]] task::sender<admin::configuration_request> configurations() const;

    /// Other keepers are named to find the rest by; those that are known stay known.
    void change_seeds(settings::seeds_changed changed);

private:
    class state;
    explicit keeper_module(std::unique_ptr<state> made);
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::keeper
