#pragma once

#include "admin/report.h"
#include "base/outcome.h"
#include "engines/target_protocol.h"
#include "routes/route_table_parser.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "task/sender.h"

#include <functional>
#include <memory>

namespace kingcupcart::store {

/// The store role: persists batch jobs and their results in a replicated group, and runs their
/// items on engines.
class store_module {
public:
    struct parameters {
        settings::process_settings settings;
        routes::route_table_parser parse_route_table = nullptr;
        engines::target_protocol protocol;
    };

    static outcome<std::unique_ptr<store_module>> start(const parameters& arguments);

    ~store_module();
    store_module(const store_module&) = delete;
    store_module& operator=(const store_module&) = delete;

    [[nodiscard]] task::sender<admin::report_request> reports() const;

    /// Hands over leadership, and calls `on_drained` on the store task when the process may end.
    void begin_stop(std::function<void()> on_drained);
    /// Adds keepers to contact for discovery; keepers that are known already stay known.
    void change_seeds(settings::seeds_changed changed);

private:
    class state;
    explicit store_module(std::unique_ptr<state> created);
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::store
