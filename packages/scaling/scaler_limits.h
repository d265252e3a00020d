#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace kingcupcart::scaling {

/// Settings of the replica scaler.
struct scaler_limits {
    /// Steps of each model that run side by side.
    std::int64_t steps_in_flight = 2;
    /// Additional share of slots while a step is expected late. The items of a step are not equally
    /// long, and fewer items on an engine shorten all of them.
    double late_margin = 0.25;
    /// Largest share of the needed replicas in one failure domain, if there are enough domains. The
    /// rest still has slots for one step of each model and half of another.
    double max_domain_share = 0.25;
    /// Orders follow the largest demand within this time, so that a pause of a trainer does not end
    /// replicas. All replicas of a deployment cost less in this time than one late step.
    duration hold_time = std::chrono::minutes(2);
    /// A surplus below this share of the replicas is kept: it costs less than ordering it again.
    double min_surplus_share = 0.1;
    /// A new leader waits this long for the announcements of replicas before its first order.
    duration settle_time = std::chrono::seconds(5);
    /// Nothing is lowered if the latest load report is older.
    duration max_load_age = std::chrono::seconds(5);
    /// Replicas that have not appeared after this multiple of the boot time count as missing. Boot
    /// times vary, and a heartbeat follows.
    int missing_after_boot_times = 3;
    /// No replicas are ordered in a failure domain for this long after it had none available, or
    /// after replicas were missing.
    duration unavailable_time = std::chrono::seconds(20);
    /// The same after spot replicas were reclaimed, and after an order was rejected.
    duration reclaimed_time = std::chrono::seconds(60);
    duration rejected_time = std::chrono::seconds(60);
    /// Delay before an order that was not answered or not executed is sent again; doubles.
    duration first_retry = std::chrono::milliseconds(500);
    duration max_retry = std::chrono::seconds(4);
    /// Replicas that are to leave after their number was lowered may serve for this long.
    duration leave_time = std::chrono::seconds(30);
    /// A lost replica that no other has replaced is remembered for this long, also by keepers that
    /// do not lead.
    duration lost_memory = std::chrono::minutes(10);
};

} // namespace kingcupcart::scaling
