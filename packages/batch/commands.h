#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/item_result.h"
#include "batch/job.h"

#include <chrono>
#include <variant>
#include <vector>

/// Commands in the replicated log of the stores.
namespace kingcupcart::batch {

/// Adds a job. Has no effect if a job with the same identifier exists.
struct submit_job {
    job content;
    /// Minimum time after the submission for which the job and its results are retained.
    std::chrono::milliseconds retention{};
};

/// Appends results to the job's result list, in this order. Results of items that already have a
/// result, or that the job does not contain, are ignored.
struct append_results {
    job_id job;
    std::vector<item_result> results;
};

/// Marks the job as ended: its submitter needs no more results.
struct end_job {
    job_id job;
};

/// Changes nothing. Once it is applied, its proposer can read a state that includes all commands
/// committed before it.
struct read_barrier {};

using command = std::variant<submit_job, append_results, end_job, read_barrier>;

} // namespace kingcupcart::batch
