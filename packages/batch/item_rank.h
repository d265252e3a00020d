#pragma once

namespace kingcupcart::batch {

/// Priority of an item within its job, the highest first.
enum class item_rank {
    /// The item's group was incomplete in an earlier job; the submitter waits for it in any case.
    carried,
    /// The submitter waits for the item's group.
    required,
    /// The item's group is one of the longest, which the submitter does not wait for.
    spare
};

} // namespace kingcupcart::batch
