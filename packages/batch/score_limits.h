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
    /// A response that takes this multiple of the usual shortest time shows that requests queue at
    /// the service.
    double queueing_ratio = 2.5;
    /// Factor by which the limit decreases when requests queue, are declined or get lost, at most
    /// once per interval.
    double decrease_factor = 0.7;
    duration decrease_interval = std::chrono::milliseconds(200);
    /// Delay before a request is repeated; doubles with each repetition up to the limit.
    duration retry_delay = std::chrono::milliseconds(50);
    duration max_retry_delay = std::chrono::milliseconds(800);
};

} // namespace kingcupcart::batch
