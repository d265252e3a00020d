#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/internal/engine_pool.h"
#include "batch/internal/text_origin.h"
#include "batch/internal/version_room.h"
#include "batch/scheduler_messages.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kingcupcart::batch {

/// Room of the engines for waiting items, computed once for each job and software version until the
/// next run starts. Without it, hundreds of waiting items would each be compared with all engines
/// whenever a run ends.
class room_cache {
public:
    /// `engines` has to outlive the cache.
    room_cache(const engine_pool& engines, time_point now) : engines(engines), now(now) {}

    /// The largest item that an engine with a free slot accepts for the job.
    [[nodiscard]] tokens largest_room(const job_opened& job);
    [[nodiscard]] version_room room_of(const text_origin& origin, const job_opened& job);
    /// Discards all rooms, since a run has started.
    void clear() { this->jobs.clear(); }

private:
    struct job_rooms {
        std::optional<tokens> largest;
        std::vector<std::pair<text_origin, version_room>> versions;
    };

    const engine_pool& engines;
    time_point now;
    std::map<job_id, job_rooms> jobs;
};

} // namespace kingcupcart::batch
