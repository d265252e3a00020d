#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/item_result.h"
#include "batch/job.h"

#include <chrono>
#include <variant>
#include <vector>

/// What stores agree on, in order. One family of small structs.
namespace kingcupcart::batch {

/// A repeated submission changes nothing.
struct submit_job {
    job content;
    /// The job and its results are kept at least this long after its submission.
    std::chrono::milliseconds retention{};
};

/// Gives results their positions, in this order; those that have one already are passed over.
struct list_results {
    job_id job;
    std::vector<item_result> results;
};

struct end_job {
    job_id job;
};

/// Changes nothing: whoever proposes it sees all that was agreed before.
struct confirm_state {};

using command = std::variant<submit_job, list_results, end_job, confirm_state>;

} // namespace kingcupcart::batch
