#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "batch/engine.h"
#include "batch/run_id.h"

#include <cstddef>
#include <variant>
#include <vector>

/// What the item scheduler is told. One family of small structs.
namespace kingcupcart::batch {

/// An item of a job that is not listed yet.
struct open_item {
    item_id id;
    item_group_id group;
    tokens prompt;
    /// Estimated output; 0 where there is no estimate.
    tokens output;
};

struct job_opened {
    job_id job;
    model_name model;
    weight_version oldest_version;
    bool needs_single_version = false;
    std::vector<backend_name> services;
    /// Failed runs after which an item is given up.
    std::size_t failures_max = 1;
    bool is_resumable = false;
    /// Tokens that one event of a stream carries.
    tokens tokens_per_event{1};
    /// Complete groups that the submitter waits for; 0: all of them.
    std::size_t groups_wanted = 0;
    /// What is not done by then is given up.
    time_point give_up_at{};
    std::vector<open_item> items;
};

/// The submitter waits no longer: nothing more is started, and what runs may finish, since its
/// items often come again in the next job.
struct job_closed {
    job_id job;
};

/// The services of a job's route changed.
struct job_moved {
    job_id job;
    std::vector<backend_name> services;
};

struct engine_changed {
    engine state;
    /// A new incarnation, of which nothing is known.
    bool is_restarted = false;
};

struct engine_gone {
    target_id engine;
};

/// The run was handed to its engine, which may be some time after it was asked for.
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

struct run_completed {
    run_id run;
};

/// How a run ended without the item's last event.
enum class run_failure {
    /// The engine said that it did not run it.
    declined,
    /// The engine said that it failed.
    failed,
    /// The engine said that the item can never be done.
    impossible,
    /// The connection failed or broke.
    broken,
    /// The engine has older weights than the job allows, which `engine_changed` does not tell.
    stale
};

struct run_failed {
    run_id run;
    run_failure failure = run_failure::broken;
};

struct timer_expired {};

using scheduler_message =
    std::variant<job_opened, job_closed, job_moved, engine_changed, engine_gone, run_sent,
                 run_progressed, run_completed, run_failed, timer_expired>;

} // namespace kingcupcart::batch
