#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/keeper_client.h"
#include "http/listening_check.h"
#include "relaying/relay_client.h"
#include "requests/actions.h"
#include "requests/messages.h"
#include "telemetry/metric_set.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::forwarding {

/// Carries out what the dispatcher decides about paths to targets: opens connections that probe
/// them, and tells the log, the keepers and the relay client which paths and backends are lost.
class path_monitor {
public:
    struct parameters {
        const clock* time = nullptr;
        fleet::keeper_client* fleet = nullptr;
        /// Null if this instance has no calls relayed; it then sends the keepers no report.
        relaying::relay_client* relays = nullptr;
        telemetry::metric_set* metrics = nullptr;
        std::function<void(const requests::probe_ended&)> on_probe_ended;
    };

    explicit path_monitor(parameters arguments);
    ~path_monitor();
    path_monitor(const path_monitor&) = delete;
    path_monitor& operator=(const path_monitor&) = delete;

    void probe(const requests::probe_path& action);
    /// `cut_off` are all backends that this instance is cut off from now.
    void update(const requests::paths_changed& changed, const std::vector<backend_name>& cut_off);
    /// Tells a keeper that may know nothing, or an earlier state.
    void report_to(const instance_id& keeper);

private:
    struct path_probe {
        std::unique_ptr<http::listening_check> check;
        time_point started_at{};
    };

    void log(const paths::path_change& change);
    void add_cut_off(const backend_name& backend);
    void end_probe(const target_id& target, http::listening_check::result result);

    parameters params;
    std::map<target_id, path_probe> probes;
    /// Since when this instance has been cut off from them.
    std::map<backend_name, time_point> cut_off_since;
};

} // namespace kingcupcart::forwarding
