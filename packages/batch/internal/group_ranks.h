#pragma once

#include "base/ids.h"
#include "batch/internal/item_rank.h"
#include "batch/scheduler_messages.h"

#include <map>
#include <set>

namespace kingcupcart::batch {

/// Ranks the groups of a job. Those that `earlier` holds are carried over; of the others the
/// longest, as far as the submitter does not wait for them, are spare.
[[nodiscard]] std::map<item_group_id, item_rank>
rank_groups(const job_opened& job, const std::set<item_group_id>& earlier);

} // namespace kingcupcart::batch
