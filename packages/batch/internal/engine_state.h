#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/engine.h"
#include "batch/run_id.h"

#include <optional>
#include <set>

namespace kingcupcart::batch {

/// Scheduler state of one engine.
struct engine_state {
    engine descriptor;
    std::set<run_id> runs;
    /// Sum of the expected sizes of the runs.
    tokens reserved;
    /// Moving average of the time between two events of a run; zero while unknown.
    duration event_interval{};
    /// Number of observations in `event_interval`.
    int interval_count = 0;
    time_point first_interval_at{};
    time_point last_interval_at{};
    /// When the engine was last seen loading weights, as of the periodic checks.
    time_point last_loading_at{};
    /// Since when the engine has been slow enough for runs to move away; empty if it is not.
    std::optional<time_point> slow_since;
    /// No new run starts on the engine before this time.
    time_point backoff_until{};
    /// Backoff after the next failure; zero selects the initial backoff. Reset by each event.
    duration next_backoff{};

    [[nodiscard]] int running() const { return static_cast<int>(this->runs.size()); }
    [[nodiscard]] bool has_slot(time_point now) const {
        return !this->descriptor.is_leaving && !this->descriptor.is_loading &&
               this->running() < this->descriptor.slots && this->backoff_until <= now;
    }
};

} // namespace kingcupcart::batch
