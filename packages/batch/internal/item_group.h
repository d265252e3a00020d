#pragma once

#include "base/units.h"
#include "batch/internal/scheduled_item.h"
#include "batch/item_rank.h"

#include <cstddef>
#include <vector>

namespace kingcupcart::batch {

/// Scheduler state of one group of a job.
struct item_group {
    /// Items without a result.
    std::vector<scheduled_item*> open_items;
    /// The group was incomplete in an earlier job.
    bool is_carried = false;
    /// An item was given up or went to another job, so that the group will not be complete.
    bool is_lost = false;
    /// Expected number of events still to come in its longest item.
    std::size_t longest_remaining = 0;
    tokens longest_output;
    std::size_t waiting_items = 0;
    item_rank rank = item_rank::required;
    /// The group yields to others, because it is expected to miss the due time of its job.
    bool is_late = false;
    /// The group misses the due time even if its items are much shorter than estimated.
    bool is_lost_cause = false;
};

} // namespace kingcupcart::batch
