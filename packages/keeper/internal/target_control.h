#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "keeper/control_calls.h"
#include "membership/directory.h"
#include "wire/messages.h"

#include <functional>
#include <map>
#include <vector>

namespace kingcupcart::keeper {

/// The targets of a fleet at one keeper. Receives their heartbeats and deregistrations, and sends
/// what has changed to the other keepers, and to the gateways and stores linked to this one.
class target_control {
public:
    struct parameters {
        const clock* time = nullptr;
        /// A target expires this long after its last heartbeat.
        duration lease{};
        /// Whether a change that this keeper acknowledges reaches the other keepers.
        std::function<bool()> has_contact_with_group;
        std::function<void(const wire::message&)> send_to_keepers;
        std::function<void(const wire::message&)> send_to_gateways_and_stores;
        /// A target was added, changed, restarted or removed. Not called for `change_record`.
        std::function<void(const membership::directory_change&)> target_changed;
    };

    explicit target_control(parameters arguments);

    void handle(const target_heartbeat& call);
    void handle(const deregister_target& call);
    void handle(const wire::target_update& update);
    void handle(const wire::target_heartbeats& heartbeats);
    /// Marks the target as leaving, as if a heartbeat had announced it, and notifies all instances.
    void mark_leaving(const target_id& target, incarnation_id incarnation);
    /// Changes what is known of the weights of a target, and notifies all instances.
    void change_record(const target_id& target,
                       const std::function<void(membership::target_record&)>& change);
    /// Starts the leases of all targets anew.
    void renew_leases();
    /// Removes the targets whose lease has expired.
    void remove_expired();
    /// Sends the other keepers which targets have sent this keeper a heartbeat lately.
    void relay_heartbeats();

    /// Whether every target has had the time to announce itself since this keeper started.
    [[nodiscard]] bool has_complete_targets() const;
    [[nodiscard]] const membership::directory& directory() const { return this->targets; }
    /// The records of all targets, for an instance that connects and has missed earlier updates.
    [[nodiscard]] std::vector<wire::message> initial_messages() const;

private:
    /// Sends the change to all instances and notifies its owner.
    void broadcast(const membership::directory_change& change);
    /// Sends the change to linked gateways and stores, and notifies its owner.
    void handle_change(const membership::directory_change& change);
    /// Removes the target here and at all instances, also if it is known to them only.
    void remove_target(const membership::target_record& removed);
    parameters params;
    membership::directory targets;
    /// When this keeper received the last heartbeat of each target.
    std::map<target_id, time_point> last_heartbeats;
    time_point started_at{};
};

} // namespace kingcupcart::keeper
