#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "batch/internal/capacity.h"
#include "batch/internal/item_group.h"
#include "batch/internal/scheduled_item.h"
#include "batch/item_rank.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kingcupcart::batch {

/// Decides which groups of a job its submitter still needs.
///
/// Load pattern: a trainer waits for a share of its groups and takes those that are complete first.
/// A ranking made once, by estimates that are often far off, keeps slots on groups that others have
/// overtaken. Groups are therefore ranked again by what remains of them.
class group_ranks {
public:
    /// Adds the groups of the job's items. Groups in `earlier` are carried over from an earlier
    /// job.
    void open(const job_opened& job, const std::set<item_group_id>& earlier);
    /// Adds an item of the job, whose group has to be one of those opened.
    void add(scheduled_item& item);
    /// Removes an item that has a result, or will get none in this job.
    void remove(scheduled_item& item, bool is_complete);

    /// Measures again what remains of the groups, and ranks them: the carried ones are needed, and
    /// then those that are nearest to completion, up to the number that the submitter waits for. At
    /// `interval` per event, groups that miss the due time come last. Where slots are short, that
    /// is judged by the estimates as they are, and otherwise by much shorter ones, so that an
    /// estimate that is too long makes no group late. Returns the groups whose rank or lateness has
    /// changed.
    std::vector<item_group*> update(time_point now, duration interval, capacity available);
    /// Whether a group that the submitter waits for can hardly be in time.
    [[nodiscard]] bool misses_due_time() const;

    /// Whether a group has completed or was lost since the latest update.
    [[nodiscard]] bool is_outdated() const { return this->outdated; }
    [[nodiscard]] std::size_t open_item_count() const { return this->open_item_total; }
    [[nodiscard]] std::map<item_group_id, item_group>& groups() { return this->by_id; }

private:
    void measure(item_group& group, time_point now, duration interval, capacity available) const;

    std::map<item_group_id, item_group> by_id;
    std::size_t required = 0;
    std::size_t complete = 0;
    std::size_t open_item_total = 0;
    tokens tokens_per_event{1};
    std::optional<time_point> due_at;
    bool outdated = false;
};

} // namespace kingcupcart::batch
