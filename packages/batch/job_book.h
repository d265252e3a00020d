#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/command_result.h"
#include "batch/commands.h"
#include "batch/job_record.h"
#include "batch/saved_job.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace kingcupcart::batch {

/// All batch jobs and their results: the state machine that the stores replicate. Applying a
/// command looks at no clock; times come with the commands.
class job_book {
public:
    using command = batch::command;
    using result = command_result;

    result apply(const command& agreed);

    /// Null where no such job is known.
    [[nodiscard]] const job_record* find(const job_id& job) const;
    [[nodiscard]] const std::map<job_id, job_record>& jobs() const { return this->records; }

    /// The job with results from `first` on, as far as `bytes` of text go, but one at least.
    [[nodiscard]] static saved_job save(const job_record& record, std::size_t first,
                                        std::size_t bytes);
    /// Adds what a snapshot holds of one job; its parts come in order.
    void load(const saved_job& saved);

    /// A job that nobody ends is forgotten this long after its retention.
    static constexpr std::chrono::hours abandoned_after{1};

private:
    result on(const submit_job& submitted);
    result on(const list_results& listed);
    result on(const end_job& ended);
    result on(const confirm_state& asked);
    static void list(job_record& record, const item_result& result);
    /// Lists what an earlier job already generated for the same items, as far as it fits.
    void reuse_results(job_record& record);
    [[nodiscard]] const item_result* find_completed(const item_id& item) const;
    void forget_before(wall_time now);
    void forget(const job_record& record);
    /// A result that may be listed for later jobs too. Which of several is kept does not depend on
    /// their order, since a book that was loaded must go on like the one that was saved.
    void remember_completed(const item_result& result, const job_record& record);

    std::map<job_id, job_record> records;
    /// The job that listed an item as completed with the newest weights.
    std::unordered_map<item_id, job_id> completed_in;
};

} // namespace kingcupcart::batch
