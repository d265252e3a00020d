#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/wall_clock.h"
#include "duties/usage_counter.h"
#include "fleet/keeper_client.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <functional>

namespace kingcupcart::gateway {

/// Counts the requests of client accounts that began to run at targets, and sends the counts to the
/// keepers each second.
class usage_reports {
public:
    struct parameters {
        duties::usage_windows windows;
        const clock* time = nullptr;
        const wall_clock* wall_time = nullptr;
        fleet::keeper_client* fleet = nullptr;
        /// Reports requests that must have begun by now.
        std::function<void()> count_open_runs;
    };

    explicit usage_reports(parameters arguments);

    /// A request of the account began to run at a target this long ago.
    void run_began(const account_name& account, duration ago);
    /// Sends a keeper all counts, since it may have restarted.
    void keeper_greeted(const instance_id& keeper);
    void export_metrics(telemetry::metric_set& metrics) const;

private:
    void send_changes();

    parameters params;
    duties::usage_counter counter;
    task::wakeup timer;
};

} // namespace kingcupcart::gateway
