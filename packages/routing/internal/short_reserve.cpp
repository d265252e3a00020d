#include "routing/short_reserve.h"

#include <algorithm>
#include <cmath>

namespace kingcupcart::routing {

int short_reserve(double short_running, int all, double slope, double budget) {
    if (all <= 0 || short_running <= 0) {
        return 0;
    }
    if (slope <= 0) {
        return 1;
    }
    const double alone = 1 + slope * short_running / all;
    const double allowed = alone * (1 + budget) - 1;
    const double kept = std::ceil(slope * short_running / allowed);
    return std::clamp(static_cast<int>(kept), 1, all);
}

} // namespace kingcupcart::routing
