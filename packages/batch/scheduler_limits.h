#pragma once

#include "base/clock.h"

namespace kingcupcart::batch {

/// Parameters of the item scheduler.
struct scheduler_limits {
    /// Interval between checks for slow and silent runs.
    duration check_interval = std::chrono::milliseconds(100);
    /// An item whose run sends no event for this long resumes on another engine. Longer than the
    /// pause of an engine that loads new weights.
    duration event_timeout = std::chrono::milliseconds(1200);
    /// The same before a run's first event, which includes the wait in the engine's queue.
    duration first_event_timeout = std::chrono::milliseconds(1500);
    /// A run moves away from an engine that is this many times slower than the median, if an engine
    /// below `move_to_slowness` has room and the move saves at least `min_move_gain`.
    double move_from_slowness = 1.5;
    double move_to_slowness = 1.25;
    duration min_move_gain = std::chrono::milliseconds(400);
    /// An engine's slowness is evaluated only after its events were observed for this long: enough
    /// for several events of each run, since the first events after many simultaneous starts arrive
    /// in bursts.
    duration min_observation_time = std::chrono::milliseconds(500);
    /// Maximum number of moves of an item. Each costs the reading of its prompt and text.
    int max_moves = 2;
    /// An engine that declined a run, or whose run broke, receives no new run for this long.
    duration declined_backoff = std::chrono::milliseconds(150);
    duration broken_backoff = std::chrono::milliseconds(700);
    /// The backoff doubles up to this limit each time that a run of the engine breaks or times out
    /// again without an event in between. An engine that crashes has usually restarted within
    /// this time.
    duration max_broken_backoff = std::chrono::milliseconds(5600);
    /// A spare item waits at most this long for an engine with the newest weights. Half of the time
    /// after which users consider an item without an engine abandoned.
    duration max_spare_wait = std::chrono::milliseconds(2500);
    /// An item waits at most this long for an engine of the software version that sent its events,
    /// and no longer than these events took. Half of the time after which users consider an item
    /// without an engine abandoned.
    duration max_version_wait = std::chrono::milliseconds(2500);
    /// Maximum share of an engine's memory that the expected sizes of its runs may reserve.
    double max_memory_share = 0.9;
    /// Relative penalty on the score of an engine whose slots are all in use; scales linearly with
    /// the share of slots in use.
    double full_load_penalty = 0.5;
};

} // namespace kingcupcart::batch
