#pragma once

#include "base/location.h"

#include <cstddef>

namespace kingcupcart::routing {

/// Distance between this instance and a target; nearer targets come first.
enum class distance : unsigned char { own_domain, own_region, other_region };

inline constexpr std::size_t distance_count = 3;

[[nodiscard]] inline distance distance_between(const location& from, const location& to) {
    if (from.region != to.region) {
        return distance::other_region;
    }
    return from.domain == to.domain ? distance::own_domain : distance::own_region;
}

[[nodiscard]] inline const char* to_string(distance value) {
    switch (value) {
    case distance::own_domain:
        return "own-domain";
    case distance::own_region:
        return "own-region";
    case distance::other_region:
        return "other-region";
    }
    return "?";
}

} // namespace kingcupcart::routing
