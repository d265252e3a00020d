#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/response_limits.h"
#include "duties/call_schedule.h"
#include "duties/duty_lease.h"
#include "duties/platform_call.h"
#include "http/client.h"
#include "keeper/platform_protocol.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kingcupcart::keeper {

/// Sends calls to the platform's API while this keeper holds the duties: one call at a time per
/// subject, below the rate that the platform accepts from all instances, each with a timeout. A
/// call that found the platform busy, or that has no response, is repeated with backoff.
class platform_calls {
public:
    struct parameters {
        /// Identifier of this keeper, which each call carries.
        instance_id holder;
        platform_protocol protocol;
        /// Address of the platform's API.
        endpoint platform;
        const clock* time = nullptr;
        response_limits limits;
        /// Calls per second that the platform accepts from all instances together.
        double calls_per_second = 0;
        /// The fencing token with which this keeper may send at this moment; empty if it may not.
        /// Requested immediately before each call.
        std::function<std::optional<fencing_token>()> authority;
        telemetry::metric_set* metrics = nullptr;
    };
    /// Called once per order or report.
    using completion = std::function<void(duties::call_outcome)>;

    explicit platform_calls(parameters arguments);
    ~platform_calls();
    platform_calls(const platform_calls&) = delete;
    platform_calls& operator=(const platform_calls&) = delete;

    /// Sends the order, and repeats it until the platform has accepted or rejected it. A later
    /// order for the same service, failure domain and kind of replica replaces it. The completion
    /// gets the final outcome: `accepted`, `none_available` or `refused`; or `unknown`, if the
    /// order was replaced or this keeper lost the duties, whether it was sent or not.
    void send(const duties::scale_order& order, completion on_complete);
    /// Sends the report, and repeats it unchanged as described for orders. Reports are sent in
    /// order of their windows.
    void send(const duties::usage_report& report, completion on_complete);

    /// Whether this keeper holds the duties at this moment.
    [[nodiscard]] bool may_send() const { return this->params.authority().has_value(); }
    /// Ends all calls where this keeper has lost the duties.
    void leadership_changed(bool is_leader);

private:
    struct open_call {
        std::unique_ptr<http::client::call> call;
        http::response_head head;
        time_point deadline{};
        fencing_token fence;
    };
    struct pending_call {
        duties::platform_call content;
        completion on_complete;
    };

    void add(duties::platform_call content, completion on_complete);
    void run();
    void start(std::uint64_t number);
    /// Cancels the call unless it may still be written.
    void check_authority(std::uint64_t number);
    void end_attempt(std::uint64_t number, duties::call_outcome outcome, const char* reason);
    void finish(std::uint64_t number, duties::call_outcome outcome);
    void arm();

    parameters params;
    http::client client;
    duties::call_schedule schedule;
    /// By number of the call in the schedule.
    std::map<std::uint64_t, pending_call> pending;
    std::map<std::uint64_t, open_call> open;
    /// Ended calls, destroyed in the next event loop iteration because one of their own callbacks
    /// may still be running.
    std::vector<open_call> pending_deletion;
    task::wakeup timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::keeper
