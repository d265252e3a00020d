#pragma once

#include "base/ids.h"
#include "batch/internal/capacity_shares.h"
#include "batch/internal/scheduled_item.h"
#include "batch/internal/waiting_key.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace kingcupcart::batch {

/// The order in which waiting items are offered to engines.
///
/// Load pattern: several trainers whose steps are due at different times wait for the same slots,
/// and some steps are behind. An order by expected length alone serves whichever trainer has the
/// longest items, and spends slots on groups that their trainer will not wait for.
///
/// The items of each job are kept apart, so that a job without a suitable engine costs one look,
/// however many of its items wait.
class waiting_order {
public:
    /// Adds an item, which must not wait yet.
    void add(scheduled_item& item, waiting_key key, const trainer_share& share);
    /// Does nothing if the item does not wait.
    void remove(scheduled_item& item);
    /// Changes the item's place if its key has changed; the order of arrival is kept.
    void update(scheduled_item& item, waiting_key key);

    [[nodiscard]] std::size_t size() const { return this->count; }
    [[nodiscard]] bool empty() const { return this->count == 0; }
    /// Number of waiting items of the job.
    [[nodiscard]] std::size_t size_of(const job_id& job) const {
        const auto found = this->jobs.find(job);
        return found == this->jobs.end() ? 0 : found->second.items.size();
    }
    /// Waiting items of the job, the most urgent first.
    [[nodiscard]] std::vector<scheduled_item*> items_of(const job_id& job) const;

    /// One pass over the waiting items, the most urgent first. The item offered last may be removed
    /// meanwhile, and no other one.
    ///
    /// An account or trainer below a quarter of the mean share goes first, where an account counts
    /// by its weight.
    class pass {
    public:
        pass(const waiting_order& order, const capacity_shares& shares);
        /// Null at the end.
        [[nodiscard]] scheduled_item* next();
        /// Offers no further item of the job of the item offered last.
        void skip_job();

    private:
        struct remainder {
            std::map<waiting_key, scheduled_item*>::const_iterator next;
            std::size_t count = 0;
            const trainer_share* share = nullptr;
        };

        [[nodiscard]] bool is_before(const remainder& a, const remainder& b) const;
        /// Whether the job has a claim to a minimum share that it does not get.
        [[nodiscard]] bool is_below_minimum(const remainder& job) const;

        const capacity_shares& shares;
        /// Those with waiting items.
        std::size_t account_count = 0;
        std::size_t trainer_count = 0;
        std::vector<remainder> jobs;
        /// The job of the item offered last.
        remainder* current = nullptr;
    };

private:
    struct job_queue {
        std::map<waiting_key, scheduled_item*> items;
        const trainer_share* share = nullptr;
    };

    /// Only jobs with waiting items.
    std::map<job_id, job_queue> jobs;
    std::size_t count = 0;
    std::uint64_t arrivals = 0;
};

} // namespace kingcupcart::batch
