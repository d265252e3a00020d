#pragma once

#include "base/ids.h"

#include <cstdint>

namespace kingcupcart::routes {

/// Share of a route's requests that a service receives: its weight relative to the sum of the
/// route's weights.
struct service_share {
    backend_name service;
    std::uint32_t weight = 0;
};

} // namespace kingcupcart::routes
