#include "routing/short_reserve.h"

#include <algorithm>
#include <cmath>

namespace kingcupcart::routing {

int short_reserve(double short_running, int target_count, double slope, double budget) {
    if (target_count <= 0 || short_running <= 0) {
        return 0;
    }
    if (slope <= 0) {
        return 1;
    }
    const double unreserved_slowdown = 1 + slope * short_running / target_count;
    const double max_increase = unreserved_slowdown * (1 + budget) - 1;
    const double reserved = std::ceil(slope * short_running / max_increase);
    return std::clamp(static_cast<int>(reserved), 1, target_count);
}

} // namespace kingcupcart::routing
