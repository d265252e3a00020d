#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/command_result.h"
#include "batch/commands.h"
#include "batch/job_record.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace kingcupcart::batch {

/// All batch jobs and their results: the state machine that the stores replicate. Applying a
/// command looks at no clock; times come with the commands.
class job_book {
public:
    using command = batch::command;
    using result = command_result;

    /// A job as a snapshot holds it.
    struct saved_job {
        job content;
        wall_time keep_until{};
        bool is_ended = false;
        std::vector<item_result> results;
    };
    using content = std::vector<saved_job>;

    result apply(const command& agreed);

    /// Null where no such job is known.
    [[nodiscard]] const job_record* find(const job_id& job) const;
    [[nodiscard]] const std::map<job_id, job_record>& jobs() const { return this->records; }

    [[nodiscard]] content save() const;
    void load(const content& saved);

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

    std::map<job_id, job_record> records;
    /// The jobs that listed an item as completed, the latest one.
    std::unordered_map<item_id, job_id> completed_in;
};

} // namespace kingcupcart::batch
