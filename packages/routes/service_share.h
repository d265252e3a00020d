#pragma once

#include "base/ids.h"

#include <cstdint>

namespace kingcupcart::routes {

/// The part of a route's requests that a service gets.
struct service_share {
    backend_name service;
    std::uint32_t weight = 0;
};

} // namespace kingcupcart::routes
