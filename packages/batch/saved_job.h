#pragma once

#include "base/wall_clock.h"
#include "batch/item_result.h"
#include "batch/job.h"

#include <vector>

namespace kingcupcart::batch {

/// A job, or a part of its results, as a snapshot holds it.
struct saved_job {
    /// Of a continued job the identifier alone.
    job content;
    wall_time keep_until{};
    bool is_ended = false;
    /// The results follow those of an earlier part.
    bool is_continued = false;
    std::vector<item_result> results;
};

} // namespace kingcupcart::batch
