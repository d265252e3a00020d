#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "engines/target_protocol.h"
#include "group/group.h"
#include "keeper/control_calls.h"
#include "keeper/internal/keeper_codec.h"
#include "keeper/internal/store_registry.h"
#include "keeper/internal/weight_orders.h"
#include "membership/directory.h"
#include "routes/table_reader.h"
#include "settings/control_settings.h"
#include "task/wakeup.h"
#include "wire/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcupcart::keeper {

/// The control of a fleet at one keeper: routes, targets, weights and stores. It tells gateways and
/// stores what was accepted, and hears what targets say of themselves.
class fleet_control {
public:
    using keeper_group = group::group<keeper_codec>;

    struct parameters {
        settings::control_settings settings;
        instance_id instance;
        const clock* time = nullptr;
        keeper_group* replicated_group = nullptr;
        routes::table_reader read_table = nullptr;
        engines::target_protocol port;
        /// To all gateways and stores that are linked here.
        std::function<void(const wire::message&)> send_to_members;
    };

    explicit fleet_control(parameters arguments);
    ~fleet_control();
    fleet_control(const fleet_control&) = delete;
    fleet_control& operator=(const fleet_control&) = delete;

    void handle(const control_call& call);
    /// What an instance that has just come is told.
    [[nodiscard]] std::vector<wire::message> greetings() const;
    void member_joined(const wire::hello& hello);
    void member_lost(const wire::hello& hello);
    /// The link to another keeper is open: it has missed what was spread before.
    [[nodiscard]] std::size_t target_count() const { return this->targets.size(); }
    void keeper_reached(const instance_id& keeper);
    void heard(const wire::hello& from, const wire::message& said);
    void applied(const replicated::command& command);
    /// The state was replaced as a whole.
    void restored();
    void leadership_changed(bool is_leader);

private:
    void on(const put_routes& call);
    void on(const get_routes& call);
    void on(const put_weights& call);
    void on(const target_heartbeat& call);
    void on(const deregister_target& call);
    void on(const begin_retirement& call);
    void on(const get_retirement& call);

    void submit(const replicated::command& command, const control_reply& reply);
    void spread(const membership::directory_change& change);
    void take(const membership::directory_change& change);
    void change_record(const target_id& target,
                       const std::function<void(membership::target_record&)>& change);
    void routes_changed();
    void weights_changed();
    void fleet_changed();
    void bootstrap_stores();
    void run_maintenance();
    /// Whether what is acknowledged here reaches the others.
    [[nodiscard]] bool is_connected() const;
    [[nodiscard]] const replicated::replicated_state& state() const {
        return this->params.replicated_group->state();
    }

    parameters params;
    membership::directory targets;
    /// When each target was last heard of here.
    std::map<target_id, time_point> beats;
    store_registry stores;
    weight_orders orders;
    bool is_bootstrapping = false;
    task::wakeup maintenance_timer;
};

} // namespace kingcupcart::keeper
