#include "admission/drain_rate.h"

#include <algorithm>

namespace kingcupcart::admission {

namespace {

/// Divisor of the exponential moving average: the newest interval has a weight of 1/16.
constexpr int smoothing_divisor = 16;
/// Intervals are capped at this length: a longer one means that the queue was empty, not that it
/// drains slowly.
constexpr duration max_interval = std::chrono::seconds(10);

} // namespace

void drain_rate::observe_departure(time_point now) {
    if (this->has_departure) {
        const duration newest = std::min(now - this->last_departure, max_interval);
        this->mean_interval =
            this->mean_interval == duration{}
                ? newest
                : this->mean_interval + (newest - this->mean_interval) / smoothing_divisor;
    }
    this->has_departure = true;
    this->last_departure = now;
}

duration drain_rate::expected_wait(std::size_t ahead) const {
    return this->mean_interval * static_cast<duration::rep>(ahead);
}

} // namespace kingcupcart::admission
