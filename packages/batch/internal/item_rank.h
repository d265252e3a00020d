#pragma once

namespace kingcupcart::batch {

/// How much a job's submitter needs an item, the most needed first.
enum class item_rank {
    /// Its group was not complete in an earlier job: this one waits for it in any case.
    carried,
    wanted,
    /// Of the longest groups, which the submitter may do without.
    spare
};

} // namespace kingcupcart::batch
