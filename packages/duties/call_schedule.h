#pragma once

#include "base/clock.h"
#include "duties/platform_call.h"

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace kingcupcart::duties {

using platform_call = std::variant<usage_report, scale_order>;

/// Decides when each call to the platform is sent: one at a time per subject, below the platform's
/// rate, and with backoff after a call that was not answered. Usage reports are one subject; each
/// service, failure domain and kind of replica is another.
class call_schedule {
public:
    struct limits {
        /// Least time between the starts of two calls.
        duration interval = std::chrono::milliseconds(25);
        duration first_retry = std::chrono::milliseconds(200);
        duration max_retry = std::chrono::seconds(1);
    };
    struct added_call {
        std::uint64_t number = 0;
        /// A call of the same subject that is not sent again, since this one replaces it.
        std::optional<std::uint64_t> replaced;
    };

    explicit call_schedule(limits settings) : settings(settings) {}

    added_call add(const platform_call& content, time_point now);
    /// The number of a call to be sent now, which counts as in flight until `end_attempt`.
    [[nodiscard]] std::optional<std::uint64_t> take_due(time_point now);
    /// Returns whether the call is complete; it is repeated otherwise.
    bool end_attempt(std::uint64_t number, call_outcome outcome, time_point now);
    /// Forgets all calls.
    void clear();
    /// When `take_due` may next return a call; empty if only the end of an attempt can change that.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;
    [[nodiscard]] std::size_t size() const { return this->calls.size(); }

private:
    struct scheduled_call {
        platform_call content;
        bool is_in_flight = false;
        /// A later call of the same subject was added while this one was in flight.
        bool is_replaced = false;
        time_point due{};
        duration backoff{};
    };

    [[nodiscard]] bool is_blocked(std::uint64_t number, const scheduled_call& call) const;

    limits settings;
    /// By number, in the order in which they were added.
    std::map<std::uint64_t, scheduled_call> calls;
    std::uint64_t last_number = 0;
    time_point next_start{};
};

} // namespace kingcupcart::duties
