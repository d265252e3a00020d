#pragma once

#include "base/wall_clock.h"
#include "batch/item_result.h"
#include "batch/job.h"

#include <vector>

namespace kingcupcart::batch {

/// A piece of a snapshot: a job with its first results, or further results of the job.
struct job_snapshot_piece {
    /// Contains only the identifier if `is_continued` is set.
    job content;
    wall_time retained_until{};
    bool is_ended = false;
    /// The results follow those of an earlier piece of the same job.
    bool is_continued = false;
    std::vector<item_result> results;
};

} // namespace kingcupcart::batch
