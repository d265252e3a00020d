#include "routing/load_average.h"

#include <cmath>

namespace kingcupcart::routing {

void load_average::set(double value, time_point now) {
    this->mean_at_change = this->mean(now);
    this->current = value;
    this->changed_at = now;
}

double load_average::mean(time_point now) const {
    const double elapsed = std::chrono::duration<double>(now - this->changed_at).count();
    const double half = std::chrono::duration<double>(this->half_life).count();
    const double decay = std::exp2(-elapsed / half);
    return this->mean_at_change * decay + this->current * (1 - decay);
}

} // namespace kingcupcart::routing
