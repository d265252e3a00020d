#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/response_limits.h"
#include "base/system_wall_clock.h"
#include "duties/duty_lease.h"
#include "engines/target_protocol.h"
#include "group/group.h"
#include "keeper/control_calls.h"
#include "keeper/internal/crash_control.h"
#include "keeper/internal/keeper_codec.h"
#include "keeper/internal/limit_control.h"
#include "keeper/internal/platform_calls.h"
#include "keeper/internal/relay_directory.h"
#include "keeper/internal/scale_control.h"
#include "keeper/internal/store_registry.h"
#include "keeper/internal/stream_control.h"
#include "keeper/internal/target_control.h"
#include "keeper/internal/usage_control.h"
#include "keeper/internal/weight_orders.h"
#include "keeper/platform_protocol.h"
#include "membership/directory_change.h"
#include "routes/route_table_parser.h"
#include "settings/control_settings.h"
#include "settings/duty_settings.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace kingcupcart::keeper {

/// Controls a fleet at one keeper: its routes, targets, weights and stores. Handles the calls of
/// operators, trainers and targets, and sends changes to the gateways and stores that are linked to
/// this keeper.
class fleet_control {
public:
    using keeper_group = group::group<keeper_codec>;

    struct parameters {
        settings::control_settings settings;
        instance_id instance;
        const clock* time = nullptr;
        response_limits limits;
        keeper_group* replicated_group = nullptr;
        routes::route_table_parser parse_route_table = nullptr;
        engines::target_protocol protocol;
        /// Empty if this deployment's keepers make no calls to the platform.
        std::optional<settings::duty_settings> duties;
        platform_protocol platform;
        telemetry::metric_set* metrics = nullptr;
        /// Sends a message to all gateways and stores that are linked to this keeper.
        std::function<void(const wire::message&)> send_to_gateways_and_stores;
        std::function<void(const instance_id&, const wire::message&)> send_to_instance;
        /// Number of gateways and stores that are linked to this keeper.
        std::function<std::size_t()> count_gateways_and_stores;
        /// The oldest protocol revision of the other keepers, as far as it is known.
        std::function<std::uint16_t()> oldest_keeper_revision;
    };

    explicit fleet_control(parameters arguments);
    ~fleet_control();
    fleet_control(const fleet_control&) = delete;
    fleet_control& operator=(const fleet_control&) = delete;

    void handle(const control_call& call);
    /// Messages that an instance receives when it connects.
    [[nodiscard]] std::vector<wire::message> initial_messages() const;
    /// `link` is the number of the link; later ones have higher numbers.
    void instance_connected(std::uint64_t link, const wire::hello& hello);
    void instance_disconnected(std::uint64_t link, const wire::hello& hello);
    void export_metrics() {
        this->orders.responses().export_metrics(*this->params.metrics);
        this->crashes.export_metrics(*this->params.metrics);
        this->streams.export_metrics(*this->params.metrics);
        this->relays.export_metrics(*this->params.metrics);
        if (this->scaling) {
            this->scaling->export_metrics();
        }
    }
    [[nodiscard]] std::size_t target_count() const { return this->targets.directory().size(); }
    /// Sends all target records over the link that was opened to another keeper, which has missed
    /// earlier updates.
    void keeper_connected(const instance_id& keeper);
    /// `link` is 0 for a message that came over a link that this keeper has dialled.
    void handle_message(std::uint64_t link, const wire::hello& from, const wire::message& message);
    void applied(const replicated::command& command);
    /// The whole replicated state was replaced by a snapshot.
    void restored();
    void leadership_changed(bool is_leader);

private:
    void on(const put_routes& call);
    void on(const get_routes& call);
    void on(const put_weights& call);
    void on(const target_heartbeat& call) { this->targets.handle(call); }
    void on(const deregister_target& call) { this->targets.handle(call); }
    void on(const begin_retirement& call);
    void on(const get_retirement& call);
    void on(const malformed_call& call);

    [[nodiscard]] target_control::parameters make_target_parameters();
    [[nodiscard]] limit_control::parameters make_limit_parameters();
    [[nodiscard]] crash_control::parameters make_crash_parameters() const;
    [[nodiscard]] weight_orders::parameters make_order_parameters();
    void open_duties();
    void open_usage();
    void open_scaling();
    [[nodiscard]] fencing_token term() const;
    /// The fencing token with which this keeper may call the platform now; empty if it may not.
    [[nodiscard]] std::optional<fencing_token> duty_authority();
    void submit(const replicated::command& command, const control_reply& reply);
    /// Notifies the permits and the load planner.
    void target_changed(const membership::directory_change& change);
    /// Passes the newest leader's report to the load planner and the replica scaler.
    void demand_received(const wire::model_demand_report& report);
    void routes_changed();
    void weights_changed();
    void fleet_changed();
    void bootstrap_stores();
    void run_maintenance();
    /// Whether this keeper has contact with the group, so that a change that it acknowledges
    /// reaches the other keepers.
    [[nodiscard]] bool has_contact_with_group() const;
    [[nodiscard]] const replicated::replicated_state& state() const {
        return this->params.replicated_group->state();
    }

    parameters params;
    target_control targets;
    store_registry stores;
    limit_control limits;
    crash_control crashes;
    stream_control streams;
    relay_directory relays;
    weight_orders orders;
    /// Term of the store that sent the newest demand report.
    std::uint64_t demand_term = 0;
    system_wall_clock wall_time;
    duties::duty_lease lease;
    /// Null if no duties are set.
    std::unique_ptr<platform_calls> platform;
    /// Null if usage is not reported.
    std::unique_ptr<usage_control> usage;
    /// Null if replicas are not ordered.
    std::unique_ptr<scale_control> scaling;
    bool is_bootstrapping = false;
    task::wakeup maintenance_timer;
};

} // namespace kingcupcart::keeper
