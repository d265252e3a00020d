#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/wall_clock.h"
#include "duties/usage_ledger.h"
#include "duties/usage_windows.h"
#include "keeper/internal/platform_calls.h"
#include "replicated/commands.h"
#include "replicated/replicated_state.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <set>

namespace kingcupcart::keeper {

/// Reports the usage of client accounts. Each keeper adds up the gateways' counts. The one that
/// holds the duties commits the counts of a window to the replicated log, and then sends what was
/// committed, so that every later report of the window is the same.
class usage_control {
public:
    struct parameters {
        duties::usage_windows windows{{}};
        const clock* time = nullptr;
        const wall_clock* wall_time = nullptr;
        telemetry::metric_set* metrics = nullptr;
        platform_calls* calls = nullptr;
        std::function<const replicated::replicated_state&()> state;
        /// Submits the command; the callback gets whether it was committed.
        std::function<void(const replicated::command&, std::function<void(bool is_committed)>)>
            submit;
        /// Whether all keepers understand the command.
        std::function<bool()> may_commit;
    };

    explicit usage_control(parameters arguments);

    /// Returns false if the message is not about usage.
    bool handle(const wire::hello& from, const wire::message& message);
    /// Whether the deployment has client accounts.
    void accounts_changed(bool has_accounts);
    /// A command, or the whole replicated state, has changed what is committed.
    void state_changed();
    void leadership_changed(bool is_leader);

private:
    void run();
    void commit(std::uint64_t window);
    void send_committed();
    void reported(std::uint64_t window, duties::call_outcome outcome);

    parameters params;
    duties::usage_ledger ledger;
    /// The window in which this keeper first saw accounts; 0 if there are none.
    std::uint64_t first_window = 0;
    bool is_committing = false;
    /// Windows whose reports are queued or were accepted while this keeper led.
    std::set<std::uint64_t> sent;
    /// The platform has accepted or rejected the reports up to this window.
    std::uint64_t reported_through = 0;
    task::wakeup timer;
};

} // namespace kingcupcart::keeper
