#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/internal/item_rank.h"
#include "batch/run_id.h"
#include "batch/scheduler_actions.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <optional>

namespace kingcupcart::batch {

/// What the scheduler keeps of one item.
struct scheduled_item {
    job_id job;
    open_item facts;
    item_rank rank = item_rank::wanted;
    /// Set while it runs.
    std::optional<run_id> run;
    target_id engine;
    /// Reserved at the engine.
    tokens reserved;
    time_point run_started{};
    time_point last_event_at{};
    bool has_event_in_run = false;
    /// Events that are kept of its text.
    std::size_t events = 0;
    weight_version oldest;
    weight_version newest;
    /// Not sent there again while others have room.
    target_id avoided;
    std::size_t failures = 0;
    int moves = 0;
    run_cause next_cause = run_cause::first;

    [[nodiscard]] bool is_running() const { return this->run.has_value(); }
    /// Whether the kept events may stand in a result of that job.
    [[nodiscard]] bool fits(const job_opened& job) const;
    /// Estimated events to come. Lengths have a long tail: what has outlived its estimate is
    /// expected to go on for half of what it has made.
    [[nodiscard]] std::size_t events_left(tokens per_event) const;
    void forget_events();
};

} // namespace kingcupcart::batch
