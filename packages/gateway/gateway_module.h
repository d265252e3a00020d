#pragma once

#include "admin/report.h"
#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "engines/target_protocol.h"
#include "gateway/caller_protocol.h"
#include "routes/route_table_parser.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "task/sender.h"

#include <functional>
#include <memory>

namespace kingcupcart::gateway {

/// The gateway role: forwards callers' requests to targets, and batch jobs to the stores, by the
/// routes in force.
class gateway_module {
public:
    struct parameters {
        settings::process_settings settings;
        routes::route_table_parser parse_route_table = nullptr;
        caller_protocol callers;
        engines::target_protocol targets;
    };

    static outcome<std::unique_ptr<gateway_module>> start(const parameters& arguments);

    ~gateway_module();
    gateway_module(const gateway_module&) = delete;
    gateway_module& operator=(const gateway_module&) = delete;

    [[nodiscard]] task::sender<admin::report_request> reports() const;
    /// Reports not ready from now on, so that load balancers send callers elsewhere, and closes
    /// each connection after its response; new requests are still served, unless they are not
    /// expected to end by `deadline`.
    void announce_stop(time_point deadline);
    /// Refuses new requests from now on. Those that are open get their final response by
    /// `deadline`. Calls `on_drained` once, on the gateway task, when none is open any more.
    void begin_stop(time_point deadline, std::function<void()> on_drained);

    /// Adds keepers to contact for discovery; keepers that are known already stay known.
    void change_seeds(settings::seeds_changed changed);

private:
    class state;
    explicit gateway_module(std::unique_ptr<state> created);
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::gateway
