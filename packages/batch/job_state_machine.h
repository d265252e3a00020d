#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/command_result.h"
#include "batch/commands.h"
#include "batch/job_record.h"
#include "batch/job_snapshot_piece.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace kingcupcart::batch {

/// The state machine that the stores replicate: all batch jobs and their results. Applying a
/// command is deterministic and reads no clock; commands carry the times that they need.
class job_state_machine {
public:
    using command = batch::command;
    using result = command_result;

    result apply(const command& committed);

    /// Null if there is no such job.
    [[nodiscard]] const job_record* find(const job_id& job) const;
    [[nodiscard]] const std::map<job_id, job_record>& jobs() const { return this->records; }

    /// Returns a piece of a snapshot: the job with the results from position `first` on, up to
    /// about `bytes` of result text. A piece contains at least one result if any is left.
    [[nodiscard]] static job_snapshot_piece save(const job_record& record, std::size_t first,
                                                 std::size_t bytes);
    /// Loads a piece of a snapshot. The pieces of one job must be loaded in order.
    void load(const job_snapshot_piece& piece);

    /// A job that was never ended is erased this long after its retention time.
    static constexpr std::chrono::hours unended_job_retention{1};

private:
    result on(const submit_job& submission);
    result on(const append_results& request);
    result on(const end_job& request);
    result on(const read_barrier& request);
    static void append_result(job_record& record, const item_result& result);
    /// Appends the results of earlier jobs of the same account for the same items that satisfy the
    /// job's requirements.
    void reuse_results(job_record& record);
    /// The job whose result for the account's item is indexed; null if there is none.
    [[nodiscard]] const job_record* find_completed(const account_name& account,
                                                   const item_id& item) const;
    /// Erases the jobs whose retention time has passed.
    void erase_expired_jobs(wall_time now);
    /// Removes the results of an erased job from the index. A remaining job's result for the same
    /// item takes its place.
    void remove_from_index(const job_record& record);
    /// Indexes a completed result for reuse by later jobs. Which of several results of an item is
    /// indexed does not depend on the order of the calls: a replica restored from a snapshot must
    /// behave like the one that saved it.
    void index_completed_result(const item_result& result, const job_record& record);

    std::map<job_id, job_record> records;
    /// For each completed item of each account, the job whose result has the newest weights.
    std::unordered_map<account_name, std::unordered_map<item_id, job_id>> completed_items;
};

} // namespace kingcupcart::batch
