#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/urgency.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::admission {

/// A class of work from the configuration, such as booking, query, draft or grade.
struct work_class {
    work_class_name name;
    urgency kind = urgency::short_work;
    /// Time from arrival to the whole answer.
    duration deadline = std::chrono::seconds(30);
    /// Requests that may wait per backend; more are refused as not run.
    std::size_t queue_limit = 1000;
};

} // namespace kingcupcart::admission
