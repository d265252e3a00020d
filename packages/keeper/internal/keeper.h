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

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupcart::keeper {

/// Handler of the keeper task. Owns the links that other instances open to this keeper, and this
/// keeper's member of the replicated group.
class keeper {
public:
    using message = keeper_message;

    struct parameters {
        settings::process_settings settings;
        incarnation_id incarnation;
        const clock* time = nullptr;
        /// The parts of the external protocol that a keeper of a fleet uses.
        external_protocol protocol;
    };

    static outcome<std::unique_ptr<keeper>> open(parameters arguments);
    ~keeper();
    keeper(const keeper&) = delete;
    keeper& operator=(const keeper&) = delete;

    void handle(keeper_message incoming);
    [[nodiscard]] const endpoint& address() const { return this->listener->address(); }

private:
    struct linked_instance {
        std::unique_ptr<wire::peer_link> link;
        wire::hello hello;
        /// Configuration version that the instance reports as in force.
        configuration_version in_force;
    };

    using keeper_group = group::group<keeper_codec>;

    explicit keeper(parameters arguments);

    void on(const admin::configuration_order& order);
    void on(const admin::configuration_request& request);
    void on(const admin::report_request& request);
    void on(const settings::seeds_changed& changed);
    void on(const control_call& call);
    void on(const group::stop_started& started);

    void accept(GSocketConnection* connection);
    void receive(std::uint64_t number, wire::message incoming);
    void claim(std::uint64_t number, const wire::claim_request& request);
    void send_initial_messages(std::uint64_t number, linked_instance& recipient);
    /// Sends the target's record to the linked instances at other locations.
    void relay(std::uint64_t from, const membership::target_record& record);
    /// Sends the replicated state to the linked instances that use it.
    void publish();
    outcome<void> load_initial_configuration();
    outcome<void> open_group();
    [[nodiscard]] keeper_group::parameters group_parameters() const;
    void open_fleet();
    [[nodiscard]] static bool is_gateway_or_store(const linked_instance& instance);
    void send_to_gateways_and_stores(const wire::message& message);
    void send_to_instance(const instance_id& to, const wire::message& message);
    [[nodiscard]] std::size_t count_gateways_and_stores() const;
    void applied(const replicated::command& command);
    void leadership_changed(bool is_leader);
    [[nodiscard]] const replicated::replicated_state& state() const {
        return this->replicated_group->state();
    }
    [[nodiscard]] wire::hello make_hello() const;

    parameters params;
    telemetry::metric_set metrics;
    std::string initial_text;
    /// By number of the link.
    std::unordered_map<std::uint64_t, linked_instance> linked_instances;
    std::uint64_t last_link_number = 0;
    /// Protocol revision of each keeper's build, from its last greeting. Kept while the keeper is
    /// unreachable, since it may return with the same build.
    std::map<endpoint, std::uint16_t> keeper_revisions;
    /// Newest record of each target, sent to instances that connect later.
    std::map<target_id, membership::target_record> targets;
    /// Closed links, destroyed in the next event loop iteration because one of their own callbacks
    /// may still be running.
    std::vector<std::unique_ptr<wire::peer_link>> pending_deletion;
    task::wakeup cleanup_timer;
    /// This keeper's member of the group of keepers, with their replicated state.
    std::unique_ptr<keeper_group> replicated_group;
    /// Set where this keeper serves the control of a fleet.
    std::unique_ptr<fleet_control> fleet;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::keeper
