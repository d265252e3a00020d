#pragma once

#include "base/clock.h"

namespace kingcupcart::routing {

/// Peak of a number that is forgotten at an even rate.
class decaying_peak {
public:
    explicit decaying_peak(duration half_life) : half_life(half_life) {}

    void observe(double value, time_point now);
    [[nodiscard]] double value(time_point now) const;

private:
    duration half_life;
    double peak = 0;
    time_point moment{};
};

} // namespace kingcupcart::routing
