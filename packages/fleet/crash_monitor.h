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

/// The requests under which targets of the fleet ended, as this instance knows them. Reports the
/// crashes that this instance sees to all keepers, and receives updates on those that any instance
/// saw from the leading keeper.
class crash_monitor {
public:
    struct callbacks {
        std::function<void(const wire::message&)> send_to_keepers;
        std::function<void(const instance_id&, const wire::message&)> send_to_keeper;
        /// The decision on whether the request may be sent has changed.
        std::function<void(const request_fingerprint&)> suspect_changed;
    };

    crash_monitor(const clock& time, callbacks notify);

    /// Records each attempt to send a request that has a fingerprint. Whoever changes it calls
    /// `update` afterwards.
    [[nodiscard]] quarantine::crash_account& account() { return this->crashes; }

    void handle(const quarantine::suspect_update& update, const instance_id& from);
    void handle(const quarantine::trial_decision& decision, const instance_id& from);
    /// A target was added or changed. Another incarnation of it, or another target at its address,
    /// shows that it ended.
    void target_changed(const membership::target_record& record,
                        const membership::directory& targets);
    /// A check of the target's address, or a response, has shown whether it has ended.
    void record_check(const quarantine::checked_target& target, bool has_ended);
    /// Sends a keeper what this instance knows, since that keeper may have restarted.
    void keeper_connected(const instance_id& keeper);
    /// Sends due messages to the keepers, and calls `suspect_changed` for each changed request.
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
