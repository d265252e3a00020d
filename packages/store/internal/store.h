#pragma once

#include "admin/report.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/wall_clock.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "group/group.h"
#include "group/stop_started.h"
#include "http/response_budget.h"
#include "routes/route_table_parser.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "store/internal/item_runner.h"
#include "store/internal/job_request_handler.h"
#include "store/internal/result_buffer.h"
#include "store/internal/run_worker.h"
#include "store/internal/store_codec.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/listener.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace kingcupcart::store {

/// Handler of the store task: owns the links to gateways and other stores, this store's replica of
/// the batch jobs and, while this store leads, the runs of their items.
class store {
public:
    using message =
        std::variant<admin::report_request, settings::seeds_changed, group::stop_started>;
    using store_group = group::group<store_codec>;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        const wall_clock* wall = nullptr;
        routes::route_table_parser parse_route_table = nullptr;
        engines::target_protocol protocol;
    };

    static outcome<std::unique_ptr<store>> open(parameters arguments);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    void handle(message incoming);

private:
    /// An instance that has opened a link to this store.
    struct peer {
        std::unique_ptr<wire::peer_link> link;
        wire::hello hello;
    };

    explicit store(parameters arguments);
    void on(const admin::report_request& request);
    void on(const settings::seeds_changed& changed);
    void on(const group::stop_started& started);
    outcome<void> open_group();
    void open_fleet();
    void accept(GSocketConnection* connection);
    void receive(std::uint64_t number, const wire::message& incoming);
    void command_applied(const batch::command& command, batch::command_result result);
    void leadership_changed(bool is_leader);
    void start_serving();
    void open_worker();
    /// Whether every store that has connected here can read a job's account: an earlier build skips
    /// a command that contains one.
    [[nodiscard]] bool can_store_accounts() const;
    /// Place of the store that accepts links at the address; empty if it has not connected here.
    [[nodiscard]] location place_of(const instance_id& member) const;
    void stores_changed();
    /// Does nothing while the replicated log is suspended: the identity of its disk may not be
    /// stored yet.
    void send_registration(const instance_id& keeper);
    [[nodiscard]] wire::store_registration make_registration() const;
    /// Sends the leader's address and term to all gateways, if either has changed.
    void broadcast_leader();
    /// While this store leads, sends all keepers the voters among the stores and the oldest weight
    /// versions that open jobs accept.
    void send_report();
    /// While this store leads, sends all keepers that understand it the demand of each model.
    void send_demand();
    void run_maintenance();
    [[nodiscard]] endpoint leader_address() const;
    [[nodiscard]] wire::leader_update make_leader_update() const;
    [[nodiscard]] wire::hello make_hello() const;

    parameters params;
    telemetry::metric_set metrics;
    std::shared_ptr<http::response_budget> responses;
    std::unique_ptr<store_group> replicated_group;
    std::unique_ptr<fleet::keeper_client> fleet;
    std::unique_ptr<job_request_handler> request_handler;
    result_buffer buffered_results;
    /// Set while this store leads and serves requests.
    std::unique_ptr<item_runner> runner;
    /// Carries out runs for another store that leads.
    std::unique_ptr<run_worker> worker;
    std::map<std::uint64_t, peer> peers;
    std::uint64_t last_peer_number = 0;
    /// Lost links, each of which may still be in one of its own callbacks.
    std::vector<std::unique_ptr<wire::peer_link>> pending_deletion;
    wire::leader_update announced_leader;
    task::wakeup maintenance_timer;
    task::wakeup cleanup_timer;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::store
