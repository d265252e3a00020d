#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/job_item.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kingcupcart::batch {

/// Requests that were submitted at once and run later.
struct job {
    job_id id;
    /// Host and path of the submission; they select the route of its items.
    std::string host;
    std::string path;
    /// The model that a trainer trains; empty where the job is no training step.
    model_name model;
    /// Oldest weights that may generate for this job.
    weight_version oldest_version;
    /// A result must come from one version of the weights.
    bool needs_single_version = false;
    /// Complete groups that the trainer waits for.
    std::size_t groups_wanted = 0;
    std::vector<job_item> items;
    /// When the job was first accepted.
    wall_time submitted{};
};

} // namespace kingcupcart::batch
