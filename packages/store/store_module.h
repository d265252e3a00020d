#pragma once

#include "admin/report.h"
#include "base/outcome.h"
#include "engines/target_protocol.h"
#include "routes/table_reader.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "task/sender.h"

#include <memory>

namespace kingcupcart::store {

/// The store role: keeps batch jobs and their results, and has their items run.
class store_module {
public:
    struct parameters {
        settings::process_settings settings;
        routes::table_reader read_table = nullptr;
        engines::target_protocol port;
    };

    static outcome<std::unique_ptr<store_module>> start(const parameters& arguments);

    ~store_module();
    store_module(const store_module&) = delete;
    store_module& operator=(const store_module&) = delete;

    [[nodiscard]] task::sender<admin::report_request> reports() const;

    /// Other keepers are named to find the rest by; those that are known stay known.
    void change_seeds(settings::seeds_changed changed);

private:
    class state;
    explicit store_module(std::unique_ptr<state> made);
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::store
