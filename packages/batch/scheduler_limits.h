#pragma once

#include "base/clock.h"

namespace kingcupcart::batch {

/// Settings of the item scheduler's policy.
struct scheduler_limits {
    /// How often slow and silent runs are looked for.
    duration check_interval = std::chrono::milliseconds(100);
    /// A run without an event for this long goes on elsewhere. Above the pause of an engine that
    /// takes new weights.
    duration silence_limit = std::chrono::milliseconds(1200);
    /// The same before the first event, which also waits for the engine's queue.
    duration first_event_limit = std::chrono::milliseconds(1500);
    /// A run leaves an engine that is this many times slower than the median, where one under
    /// `good_slowness` has room and the rest of the run is longer than `move_gain`.
    double bad_slowness = 1.5;
    double good_slowness = 1.25;
    duration move_gain = std::chrono::milliseconds(400);
    /// An engine is judged once its events were seen for so long: some of each of its runs, since
    /// the first ones after a burst of starts come in lumps.
    duration pace_trust = std::chrono::milliseconds(500);
    /// An item is moved this often at most.
    int moves_max = 6;
    /// An engine that declined or broke gets nothing new for this long.
    duration pause_declined = std::chrono::milliseconds(150);
    duration pause_broken = std::chrono::milliseconds(700);
    /// The pause doubles each time that an engine breaks or is silent again without an event
    /// between, up to this: users' engines that crash are mostly back within it.
    duration pause_broken_max = std::chrono::milliseconds(5600);
    /// A spare item waits so long for an engine with the newest weights. Half of the time after
    /// which users take an item that no engine has for left lying.
    duration spare_patience = std::chrono::milliseconds(2500);
    /// Share of an engine's memory that expected sizes may fill.
    double memory_share = 0.9;
    /// Added to an engine's slowness when all its slots are taken.
    double full_load_cost = 0.5;
};

} // namespace kingcupcart::batch
