#include "admission/duration_estimate.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::admission {

namespace {

/// Fewer runs say little of the slow ones.
constexpr std::size_t min_observations = 3;
/// Runs of one window; the estimate covers one to two windows.
constexpr std::size_t window = 32;

} // namespace

void duration_estimate::observe(duration taken) {
    if (this->observed > 0 && this->observed % window == 0) {
        this->previous_longest = std::exchange(this->longest, duration::zero());
    }
    this->longest = std::max(this->longest, taken);
    ++this->observed;
}

std::optional<duration> duration_estimate::upper_bound() const {
    if (this->observed < min_observations) {
        return std::nullopt;
    }
    return std::max(this->longest, this->previous_longest);
}

} // namespace kingcupcart::admission
