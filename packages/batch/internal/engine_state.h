#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/engine.h"
#include "batch/run_id.h"

#include <set>

namespace kingcupcart::batch {

/// What the scheduler keeps of one engine.
struct engine_state {
    engine known;
    std::set<run_id> runs;
    /// Expected sizes of the runs.
    tokens reserved;
    /// Moving average of the time between two events; zero while unknown.
    duration pace{};
    /// Observations in it.
    int paces = 0;
    time_point pace_begun{};
    time_point pace_seen{};
    /// Nothing new before this.
    time_point paused_until{};
    /// Pause after the next failure; zero once an event came.
    duration next_pause{};

    [[nodiscard]] int running() const { return static_cast<int>(this->runs.size()); }
    [[nodiscard]] bool has_slot(time_point now) const {
        return !this->known.is_leaving && !this->known.is_loading &&
               this->running() < this->known.slots && this->paused_until <= now;
    }
};

} // namespace kingcupcart::batch
