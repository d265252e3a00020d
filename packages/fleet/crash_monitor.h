#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/request_fingerprint.h"
#include "membership/directory.h"
#include "membership/target_record.h"
#include "quarantine/checked_target.h"
#include "quarantine/crash_account.h"
#include "quarantine/crash_messages.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <functional>
#include <map>
#include <vector>

namespace kingcupcart::fleet {

/// The requests under which targets of the fleet ended, as this instance knows them. Reports to all
/// keepers what this instance sees, and receives from the leading one what all instances saw.
class crash_monitor {
public:
    struct callbacks {
        std::function<void(const wire::message&)> send_to_keepers;
        std::function<void(const instance_id&, const wire::message&)> send_to_keeper;
        /// Whether the request may be sent has changed.
        std::function<void(const request_fingerprint&)> suspect_changed;
    };

    crash_monitor(const clock& time, callbacks notify);

    /// What every attempt to send a request that has a fingerprint is recorded in. Its users call
    /// `update` after they have changed it.
    [[nodiscard]] quarantine::crash_account& account() { return this->crashes; }

    void handle(const quarantine::suspect_update& update, const instance_id& from);
    void handle(const quarantine::trial_decision& decision, const instance_id& from);
    /// A target was added or changed. Another incarnation of it, or another target at its address,
    /// shows that it ended.
    void target_changed(const membership::target_record& record,
                        const membership::directory& targets);
    /// A check of the target's address, or a response, has shown whether it has ended.
    void record_check(const quarantine::checked_target& target, bool has_ended);
    /// Tells a keeper what this instance knows, since that keeper may have restarted.
    void keeper_connected(const instance_id& keeper);
    /// Sends due messages to the keepers and notifies of the requests whose decision has changed.
    void update();
    void export_metrics(telemetry::metric_set& metrics);

private:
    const clock& time;
    callbacks notify;
    quarantine::crash_account crashes;
    /// The last state that was logged of each suspect.
    std::map<request_fingerprint, quarantine::suspect_state> logged_states;
    std::uint64_t targets_ended = 0;
    bool is_updating = false;
    task::wakeup timer;
};

} // namespace kingcupcart::fleet
