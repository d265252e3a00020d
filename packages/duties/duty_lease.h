#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "duties/duty_time.h"
#include "duties/log_leadership.h"

#include <optional>

namespace kingcupcart::duties {

/// Says whether this instance may carry out the duties of the leading keeper, and with which
/// fencing token: the term in which it leads. A new holder waits until no call of an earlier one
/// can arrive any more. To be asked immediately before each call.
class duty_lease {
public:
    struct limits {
        /// Time after which calls of an earlier holder no longer arrive.
        duration lease{};
        /// Added to the lease, to allow for clock drift and for calls in transit.
        duration margin = std::chrono::milliseconds(300);
        /// A leadership is confirmed by contacts within this time.
        duration confirmation = std::chrono::milliseconds(500);
        /// A suspension shorter than this is within the resolution of the clocks.
        duration suspension_tolerance = std::chrono::milliseconds(5);
    };

    explicit duty_lease(limits settings) : settings(settings) {}

    void leadership_changed(bool is_leader, const duty_time& time);
    /// The fencing token with which this instance may send now; empty if it may not.
    [[nodiscard]] std::optional<fencing_token> authority(const log_leadership& leadership,
                                                         const duty_time& time);
    /// When the wait for calls of an earlier holder ends; empty if this instance does not lead.
    [[nodiscard]] std::optional<time_point> begins_at() const;

private:
    /// Detects a suspension since the last observation.
    void observe(const duty_time& time);

    limits settings;
    bool is_leader = false;
    /// The term that the wait belongs to; empty until it is first seen.
    std::optional<fencing_token> term;
    time_point begin{};
    duration suspended{};
    /// Until then, a contact may date from before a suspension of this machine.
    time_point confirmed_from{};
};

} // namespace kingcupcart::duties
