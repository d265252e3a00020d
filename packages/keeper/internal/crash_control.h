#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "quarantine/crash_messages.h"
#include "quarantine/crash_registry.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <functional>
#include <vector>

namespace kingcupcart::keeper {

/// The requests under which targets ended, as all senders report them to this keeper. Sends updates
/// on suspects to the senders and grants trials while this keeper leads.
class crash_control {
public:
    struct parameters {
        const clock* time = nullptr;
        /// Whether this keeper leads and no other keeper can have been elected leader.
        std::function<bool()> is_leading;
        std::function<void(const instance_id&, const wire::message&)> send_to_instance;
        std::function<void(const wire::message&)> send_to_gateways_and_stores;
    };

    explicit crash_control(parameters arguments);

    /// Returns false, without effect, unless the message is one that senders report crashes with.
    [[nodiscard]] bool handle(const instance_id& from, const wire::message& message);
    void instance_disconnected(const instance_id& instance);
    void leadership_changed(bool is_leader);
    /// Updates on all suspects, for an instance that connects.
    [[nodiscard]] std::vector<wire::message> initial_messages() const;
    void export_metrics(telemetry::metric_set& metrics) const;

private:
    void handle_sender_message(const instance_id& from, const quarantine::account_message& message);
    /// Sends due messages and logs transitions.
    void update();

    parameters params;
    quarantine::crash_registry registry;
    task::wakeup timer;
};

} // namespace kingcupcart::keeper
