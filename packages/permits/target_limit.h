#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <optional>

namespace kingcupcart::permits {

/// The rate of requests that one incarnation of a target takes from all instances together.
struct target_limit {
    target_id target;
    incarnation_id incarnation;
    /// Empty if the target has no limit.
    std::optional<requests_per_second> rate;
    /// When the request was sent whose response stated the limit: responses overtake each other.
    time_point stated_at{};
};

} // namespace kingcupcart::permits
