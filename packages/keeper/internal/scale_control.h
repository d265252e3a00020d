#pragma once

#include "base/clock.h"
#include "duties/platform_call.h"
#include "membership/directory_change.h"
#include "routes/route_table.h"
#include "scaling/replica_scaler.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <functional>

namespace kingcupcart::keeper {

/// Carries out the decisions of the replica scaler while this keeper may order replicas. Each
/// keeper follows the replicas and the load, so that any can lead at once.
class scale_control {
public:
    struct parameters {
        const clock* time = nullptr;
        /// Sends the order to the platform. Calls back once, with the final outcome.
        std::function<void(const duties::scale_order&, std::function<void(duties::call_outcome)>)>
            send;
        /// Whether this keeper holds the duties at this moment and has heard of all replicas.
        std::function<bool()> may_order;
        telemetry::metric_set* metrics = nullptr;
    };

    explicit scale_control(parameters arguments);
    ~scale_control();
    scale_control(const scale_control&) = delete;
    scale_control& operator=(const scale_control&) = delete;

    void routes_changed(const routes::route_table& table);
    void target_changed(const membership::directory_change& change);
    void demand_received(const wire::model_demand_report& report);
    /// Ends orders where this keeper has lost its leadership.
    void leadership_changed(bool is_leader);
    /// Begins to order once this keeper may; to be called regularly. A short loss of contact with
    /// the other keepers delays calls, but is no reason to count the replicas anew.
    void check_authority();
    void export_metrics() const;

private:
    void set_authority(bool may_order);
    void dispatch(const scaling::scaler_message& message);
    void execute(const scaling::order_replicas& order);
    void execute(const scaling::replicas_missing& missing);

    parameters params;
    scaling::replica_scaler scaler;
    bool has_authority = false;
    task::wakeup timer;
};

} // namespace kingcupcart::keeper
