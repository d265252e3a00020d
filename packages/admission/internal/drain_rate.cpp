#include "admission/drain_rate.h"

#include <algorithm>

namespace kingcupcart::admission {

namespace {

/// The newest interval's share of the average is one part in this many.
constexpr int memory = 16;
/// A pause longer than this says that nothing waited, not that the queue is slow.
constexpr duration pause_max = std::chrono::seconds(10);

} // namespace

void drain_rate::observe_departure(time_point now) {
    if (this->has_departure) {
        const duration newest = std::min(now - this->last, pause_max);
        this->interval = this->interval == duration{}
                             ? newest
                             : this->interval + (newest - this->interval) / memory;
    }
    this->has_departure = true;
    this->last = now;
}

duration drain_rate::expected_wait(std::size_t ahead) const {
    return this->interval * static_cast<duration::rep>(ahead);
}

} // namespace kingcupcart::admission
