#pragma once

#include "base/clock.h"
#include "batch/item_rank.h"

#include <compare>
#include <cstdint>

namespace kingcupcart::batch {

/// What starting an item is worth to its submitter, the most valuable first.
enum class item_standing {
    /// The submitter waits for the item's group. That it is expected to miss the due time makes no
    /// difference: estimates of long items are often far off, and a trainer that waits for a group
    /// submits its next step the later.
    needed,
    /// The submitter does not wait for the item's group.
    spare
};

/// Sorts the waiting items of a job. Those with the least slack come first, and the longest among
/// equals, since a group is complete only when its last item is.
struct waiting_key {
    item_standing standing = item_standing::needed;
    /// When the item has to start to be complete in time; `time_point::max()` without a due time.
    time_point latest_start = time_point::max();
    item_rank rank = item_rank::required;
    /// The expected output in tokens, negated.
    std::int64_t negated_output = 0;
    /// Position in the order of arrival.
    std::uint64_t arrival = 0;

    auto operator<=>(const waiting_key&) const = default;
};

} // namespace kingcupcart::batch
