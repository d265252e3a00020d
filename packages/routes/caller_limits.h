#pragma once

#include "base/clock.h"

#include <cstdint>

namespace kingcupcart::routes {

/// What callers may send, and how long they may take.
struct caller_limits {
    std::int64_t body_bytes_max = std::int64_t{32} * 1024 * 1024;
    /// A kept connection may be idle for this long.
    duration idle_time = std::chrono::seconds(15);
};

} // namespace kingcupcart::routes
