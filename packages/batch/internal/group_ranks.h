#pragma once

#include "base/ids.h"
#include "batch/item_rank.h"
#include "batch/scheduler_messages.h"

#include <map>
#include <set>

namespace kingcupcart::batch {

/// Ranks the groups of a job. Groups in `earlier` are carried over from an earlier job. Of the
/// others, the shortest are required, up to the number of groups that the submitter waits for; the
/// rest are spare.
[[nodiscard]] std::map<item_group_id, item_rank>
rank_groups(const job_opened& job, const std::set<item_group_id>& earlier);

} // namespace kingcupcart::batch
