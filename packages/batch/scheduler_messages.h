#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/engine.h"
#include "batch/run_id.h"

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

/// Input messages of the item scheduler.
namespace kingcupcart::batch {

/// An item that has no result yet.
struct pending_item {
    item_id id;
    item_group_id group;
    tokens prompt;
    /// Estimated output; 0 if there is no estimate.
    tokens output;
};

/// A job whose pending items are to run. Replaces an earlier message of the same job.
struct job_opened {
    job_id job;
    model_name model;
    weight_version oldest_version;
    bool needs_single_version = false;
    std::vector<backend_name> services;
    /// Failed runs after which an item is given up.
    std::size_t max_failures = 1;
    bool is_resumable = false;
    /// Tokens in one event of a stream.
    tokens tokens_per_event{1};
    /// Number of complete groups that the submitter waits for; 0 means all.
    std::size_t groups_required = 0;
    /// Number of groups that were complete before, and have no item in `items`.
    std::size_t groups_complete = 0;
    /// The account that submitted the job; empty if there are no accounts.
    account_name account;
    /// 0 is the highest priority.
    int priority = 0;
    /// When the required groups should be complete; empty if there is no such time.
    std::optional<time_point> due_at;
    /// Items that are not complete by then are given up.
    time_point give_up_at{};
    std::vector<pending_item> items;
};

/// The submitter no longer waits for the job: no further run starts. Current runs may finish, since
/// their items often recur in the next job.
struct job_closed {
    job_id job;
};

/// These items of the job have results that no run of this scheduler completed: an earlier leader
/// had submitted them, and they were recorded after this one had opened the job. They run no more.
struct results_recorded {
    job_id job;
    std::vector<item_id> items;
};

/// The services of the job's route changed.
struct job_services_changed {
    job_id job;
    std::vector<backend_name> services;
};

/// An engine appeared, or its properties changed.
struct engine_updated {
    engine state;
    /// The engine is a new incarnation: its runs are lost, and its measured speed is void.
    bool is_restarted = false;
};

/// The engine was removed. Its current runs may still finish.
struct engine_removed {
    target_id engine;
};

/// The run was sent to its engine, possibly some time after the `start_run` action.
struct run_sent {
    run_id run;
};

/// Event number `last_event` of the item has arrived.
struct run_progressed {
    run_id run;
    std::size_t last_event = 0;
    /// Oldest and newest weights of the item's events so far.
    weight_version oldest;
    weight_version newest;
};

/// The item's last event has arrived.
struct run_completed {
    run_id run;
};

/// Why a run ended without the item's last event.
enum class run_failure {
    /// The engine reported that it did not run the item.
    declined,
    /// The engine reported that the run failed.
    failed,
    /// The engine reported that the item can never succeed.
    impossible,
    /// The connection failed, or the response was incomplete or malformed.
    broken,
    /// The engine has weights older than the job allows, contrary to its `engine_updated` message.
    stale
};

struct run_failed {
    run_id run;
    run_failure failure = run_failure::broken;
};

/// Permits of limited engines have arrived, or a limit has ended.
struct permits_updated {};

/// The time that `item_scheduler::next_wakeup` returned has passed.
struct timer_expired {};

using scheduler_message =
    std::variant<job_opened, job_closed, results_recorded, job_services_changed, engine_updated,
                 engine_removed, run_sent, run_progressed, run_completed, run_failed,
                 permits_updated, timer_expired>;

} // namespace kingcupcart::batch
