#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "group/group.h"
#include "keeper/external_protocol.h"
#include "keeper/internal/fleet_control.h"
#include "keeper/internal/keeper_codec.h"
#include "keeper/internal/keeper_message.h"
#include "replicated/replicated_state.h"
#include "settings/process_settings.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/listener.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupcart::keeper {

/// Handler of the keeper task: owns the links of entry instances to this keeper, and the state.
class keeper {
public:
    using message = keeper_message;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        /// What a keeper of a fleet needs of the outer protocol.
        external_protocol outer;
    };

    static outcome<std::unique_ptr<keeper>> open(parameters arguments);
    ~keeper();
    keeper(const keeper&) = delete;
    keeper& operator=(const keeper&) = delete;

    void handle(keeper_message incoming);
    [[nodiscard]] const endpoint& address() const { return this->listener->address(); }

private:
    struct member {
        std::unique_ptr<wire::peer_link> link;
        wire::hello hello;
        /// What it says is in force there.
        configuration_version in_force;
    };

    using keeper_group = group::group<keeper_codec>;

    explicit keeper(parameters arguments);

    void on(const admin::configuration_order& order);
    void on(const admin::configuration_request& asked);
    void on(const admin::report_request& asked);
    void on(const settings::seeds_changed& changed);
    void on(const control_call& call);

    void accept(GSocketConnection* connection);
    void receive(std::uint64_t number, wire::message said);
    void claim(std::uint64_t number, const wire::claim_request& asked);
    void greet(member& joined);
    void relay(std::uint64_t from, const membership::target_record& record);
    void publish();
    outcome<void> load_initial_configuration();
    outcome<void> open_group();
    [[nodiscard]] keeper_group::parameters group_parts() const;
    void open_fleet();
    void send_to_members(const wire::message& said);
    void applied(const replicated::command& command);
    void leadership_changed(bool is_leader);
    [[nodiscard]] const replicated::replicated_state& state() const {
        return this->replicated_group->state();
    }
    [[nodiscard]] wire::hello make_hello() const;

    parameters params;
    telemetry::metric_set metrics;
    std::string initial_text;
    std::unordered_map<std::uint64_t, member> members;
    std::uint64_t last_member = 0;
    /// Newest record of each target, for instances that come later.
    std::map<target_id, membership::target_record> targets;
    std::vector<std::unique_ptr<wire::peer_link>> retired;
    task::wakeup cleanup_timer;
    /// The other keepers, and what they agreed on with this one.
    std::unique_ptr<keeper_group> replicated_group;
    /// Set where this keeper serves the control of a fleet.
    std::unique_ptr<fleet_control> fleet;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::keeper
