#pragma once

#include "admin/report.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "engines/target_protocol.h"
#include "gateway/caller_protocol.h"
#include "routes/table_reader.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "task/sender.h"

#include <functional>
#include <memory>

namespace kingcupcart::gateway {

/// The gateway role: takes callers' requests and batch jobs by the routes in force.
class gateway_module {
public:
    struct parameters {
        settings::process_settings settings;
        routes::table_reader read_table = nullptr;
        caller_protocol callers;
        engines::target_protocol targets;
    };

    static outcome<std::unique_ptr<gateway_module>> start(const parameters& arguments);

    ~gateway_module();
    gateway_module(const gateway_module&) = delete;
    gateway_module& operator=(const gateway_module&) = delete;

    [[nodiscard]] task::sender<admin::report_request> reports() const;
    /// Readiness goes; what comes is still served.
    void announce_stop();
    /// Calls back once all that was taken is answered.
    void begin_stop(std::function<void()> drained);

    /// Other keepers are named to find the rest by; those that are known stay known.
    void change_seeds(settings::seeds_changed changed);

private:
    class state;
    explicit gateway_module(std::unique_ptr<state> made);
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::gateway
