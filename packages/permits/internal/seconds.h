#pragma once

#include "base/clock.h"

#include <chrono>

namespace kingcupcart::permits {

inline double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

inline duration from_seconds(double time) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(time));
}

} // namespace kingcupcart::permits
