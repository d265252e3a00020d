#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "permits/limit_statement.h"
#include "permits/permit_account.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace kingcupcart::fleet {

/// The rates of requests that targets have named, and this instance's permits to send to them.
/// Tells the keepers what responses say, and asks the leading one for permits.
class target_limits {
public:
    struct callbacks {
        std::function<void(const wire::message&)> send_to_keepers;
        /// The target may be sent to, or the wait for its permits has changed.
        std::function<void(const target_id&)> permits_changed;
    };

    target_limits(const clock& time, std::uint64_t seed, callbacks notify);

    /// Records what a response of the target says. `sent_at` is when its request was sent.
    void record(const target_id& target, incarnation_id incarnation,
                const permits::limit_statement& statement, time_point sent_at);
    void handle(const wire::limit_report& report, const instance_id& from);
    void handle(const wire::permit_grants& grants);
    void target_changed(const target_id& target, incarnation_id incarnation);
    void target_removed(const target_id& target);
    /// Reports all limits, since the keepers may have restarted.
    void keeper_connected();
    /// Sends the demands for permits that have changed. Senders call it after they have taken
    /// permits, or have work that waits for some.
    void update_demands();

    /// What every request to a target of the fleet is counted in.
    [[nodiscard]] permits::permit_account& account() { return this->permits; }
    [[nodiscard]] const permits::limit_table& table() const { return this->permits.table(); }
    /// Sets a gauge for the limit of each target, the permits held and the requests sent against
    /// it.
    void export_metrics(telemetry::metric_set& metrics);

private:
    struct known_rate {
        std::optional<requests_per_second> rate;
        time_point reported_at{};
    };

    void apply(const permits::target_limit& limit, const std::string& source);
    void report(const target_id& target);
    /// Reports the limit if the keepers know another number, but not for each response.
    void report_change(const target_id& target);
    void count_malformed(const target_id& target, incarnation_id incarnation);
    void handle_timer();

    const clock& time;
    callbacks notify;
    permits::permit_account permits;
    std::uint64_t malformed = 0;
    time_point malformed_logged_at{};
    /// What the keepers know of each limit.
    std::map<target_id, known_rate> known_to_keepers;
    /// Targets whose gauges are set to other values than zero.
    std::set<target_id> exported;
    task::wakeup demand_timer;
};

} // namespace kingcupcart::fleet
