#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/urgency.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::admission {

/// A work class of the configuration, such as booking, query, draft or grade.
struct work_class {
    work_class_name name;
    urgency kind = urgency::short_work;
    /// Time from the arrival of a request to the end of its response.
    duration deadline = std::chrono::seconds(30);
    /// Maximum number of waiting requests per backend; further requests are rejected as not run.
    std::size_t queue_limit = 1000;
};

} // namespace kingcupcart::admission
