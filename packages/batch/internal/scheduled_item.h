#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/internal/text_origin.h"
#include "batch/internal/waiting_key.h"
#include "batch/item_rank.h"
#include "batch/run_id.h"
#include "batch/scheduler_actions.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace kingcupcart::batch {

struct item_group;
struct trainer_share;

/// Scheduler state of one item.
struct scheduled_item {
    job_id job;
    pending_item spec;
    /// The item's group within its job; null only before the item is added to one.
    item_group* group = nullptr;
    /// The item's place among the waiting ones; empty if it does not wait.
    std::optional<waiting_key> place;
    item_rank rank = item_rank::required;
    /// Set while the item runs.
    std::optional<run_id> run;
    /// The share that the run counts in; null while the item does not run.
    trainer_share* share = nullptr;
    target_id engine;
    /// Memory reserved on the engine.
    tokens reserved;
    time_point run_started{};
    time_point last_event_at{};
    bool has_event_in_run = false;
    /// Number of events of the item's text that are stored.
    std::size_t received_events = 0;
    /// Oldest and newest weights that generated these events.
    weight_version oldest;
    weight_version newest;
    /// The software that sent these events.
    text_origin origin;
    /// Engines that sent some of these events, and have not announced another incarnation since.
    /// Any of them may have been another incarnation than the announced one.
    std::vector<target_id> senders;
    /// What the engine of the run was announced as when the run started.
    text_origin run_origin;
    /// When the item first waited for an engine after its last event.
    std::optional<time_point> waiting_since;
    /// The item is sent to this engine again only if the alternatives are much worse.
    target_id avoided_engine;
    std::size_t failures = 0;
    int moves = 0;
    run_cause next_cause = run_cause::first;

    [[nodiscard]] bool is_running() const { return this->run.has_value(); }
    /// Whether the received events may be part of a result of the job.
    [[nodiscard]] bool satisfies(const job_opened& requirements) const;
    /// Estimated number of events still to come. Output lengths have a long tail: an item that
    /// exceeds its estimate is expected to generate half as many events again as it has so far.
    [[nodiscard]] std::size_t estimate_remaining_events(tokens per_event) const;
    /// Records the origin of the events that the current run has sent.
    void record_origin();
    void discard_events();
};

} // namespace kingcupcart::batch
