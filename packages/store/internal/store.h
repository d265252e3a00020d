#pragma once

#include "admin/report.h"
#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/wall_clock.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "group/group.h"
#include "routes/table_reader.h"
#include "settings/process_settings.h"
#include "settings/seeds_changed.h"
#include "store/internal/item_runner.h"
#include "store/internal/job_desk.h"
#include "store/internal/result_list.h"
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

/// Handler of the store task: owns the links of gateways and other stores, the batch jobs, and,
/// while it leads, the runs of their items.
class store {
public:
    using message = std::variant<admin::report_request, settings::seeds_changed>;
    using store_group = group::group<store_codec>;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        const wall_clock* wall = nullptr;
        routes::table_reader read_table = nullptr;
        engines::target_protocol port;
    };

    static outcome<std::unique_ptr<store>> open(parameters arguments);
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    void handle(message incoming);

private:
    struct neighbour {
        std::unique_ptr<wire::peer_link> link;
        wire::hello hello;
    };

    explicit store(parameters arguments);
    void on(const admin::report_request& asked);
    void on(const settings::seeds_changed& changed);
    outcome<void> open_group();
    void open_fleet();
    void accept(GSocketConnection* connection);
    void receive(std::uint64_t number, const wire::message& said);
    void applied(const batch::command& command, batch::command_result result);
    void leadership_changed(bool is_leader);
    void begin_serving();
    void stores_changed();
    void present_to(const instance_id& keeper);
    /// Tells gateways who leads, where that has changed.
    void spread_leader();
    /// Tells keepers who votes among the stores, and which weights open jobs need.
    void report();
    void run_maintenance();
    [[nodiscard]] endpoint leader_address() const;
    [[nodiscard]] wire::hello make_hello() const;

    parameters params;
    telemetry::metric_set metrics;
    std::unique_ptr<store_group> replicated_group;
    std::unique_ptr<fleet::keeper_client> fleet;
    std::unique_ptr<job_desk> desk;
    result_list ended_items;
    /// Set while this store leads and serves.
    std::unique_ptr<item_runner> runner;
    std::map<std::uint64_t, neighbour> neighbours;
    std::uint64_t last_neighbour = 0;
    std::vector<std::unique_ptr<wire::peer_link>> retired;
    endpoint told_leader;
    task::wakeup maintenance_timer;
    task::wakeup cleanup_timer;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::store
