#pragma once

#include "base/clock.h"

#include <cstdint>

namespace kingcupcart::routes {

/// Limits on requests and connections of callers.
struct caller_limits {
    std::int64_t max_body_bytes = std::int64_t{32} * 1024 * 1024;
    /// A keep-alive connection is closed after this idle time.
    duration idle_timeout = std::chrono::seconds(15);
};

} // namespace kingcupcart::routes
