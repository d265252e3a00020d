#pragma once

#include "base/clock.h"

namespace kingcupcart::routing {

/// Time-weighted mean of a value with exponential decay.
class load_average {
public:
    explicit load_average(duration half_life) : half_life(half_life) {}

    /// The value is `value` from `now` on.
    void set(double value, time_point now);
    [[nodiscard]] double mean(time_point now) const;

private:
    duration half_life;
    double current = 0;
    double mean_at_change = 0;
    time_point changed_at{};
};

} // namespace kingcupcart::routing
