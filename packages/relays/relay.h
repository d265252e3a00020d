#pragma once

#include "base/ids.h"
#include "base/location.h"

namespace kingcupcart::relays {

/// A gateway that may forward calls for others.
struct relay {
    instance_id id;
    location place;

    friend bool operator==(const relay&, const relay&) = default;
};

} // namespace kingcupcart::relays
