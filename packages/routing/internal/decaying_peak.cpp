#include "routing/decaying_peak.h"

#include <algorithm>
#include <cmath>

namespace kingcupcart::routing {

void decaying_peak::observe(double value, time_point now) {
    this->peak = std::max(value, this->value(now));
    this->moment = now;
}

double decaying_peak::value(time_point now) const {
    const double age = std::chrono::duration<double>(now - this->moment).count();
    const double half = std::chrono::duration<double>(this->half_life).count();
    return this->peak * std::exp2(-age / half);
}

} // namespace kingcupcart::routing
