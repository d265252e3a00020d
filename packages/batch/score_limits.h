#pragma once

#include "base/clock.h"

#include <chrono>

namespace kingcupcart::batch {

/// Parameters of the score scheduler.
struct score_limits {
    /// Requests in progress at the same time: the initial limit, and the bounds of the learned one.
    double initial_concurrency = 8;
    double min_concurrency = 1;
    double max_concurrency = 64;
    /// Requests queue at the service if their mean latency exceeds its lowest value by this factor.
    /// The mean is compared, since single latencies differ by the targets' distances and speeds.
    double queueing_ratio = 1.75;
    /// Latency decreases the limit only down to this value, below which it also recovers fast:
    /// a few requests do not delay callers, and latencies also rise for other reasons.
    double uncritical_concurrency = 8;
    /// Factor by which the limit decreases when requests queue, are declined or get lost, at most
    /// once per interval.
    double decrease_factor = 0.7;
    duration decrease_interval = std::chrono::milliseconds(300);
    /// Delay before a request is repeated; doubles with each repetition up to the limit.
    duration retry_delay = std::chrono::milliseconds(50);
    duration max_retry_delay = std::chrono::milliseconds(800);
};

} // namespace kingcupcart::batch
