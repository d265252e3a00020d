#pragma once

#include "batch/internal/engine_pool.h"
#include "batch/internal/scheduled_item.h"
#include "batch/item_scheduler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcupcart::batch {

class item_scheduler::state {
public:
    explicit state(scheduler_limits limits) : limits(limits), engines(limits) {}

    void on(const job_opened& opened);
    void on(const job_closed& closed);
    void on(const job_moved& moved);
    void on(const engine_changed& changed);
    void on(const engine_gone& gone);
    void on(const run_sent& sent);
    void on(const run_progressed& progressed);
    void on(const run_completed& completed);
    void on(const run_failed& failed);
    void on(const timer_expired& passed);
    /// Starts what waits and has room.
    void fill();

    struct job_state {
        job_opened facts;
        bool is_closed = false;
        time_point opened_at{};
    };

    scheduler_limits limits;
    engine_pool engines;
    std::map<job_id, job_state> jobs;
    std::unordered_map<item_id, scheduled_item> items;
    std::unordered_map<run_id, item_id> runs;
    /// What waits, the most urgent first.
    std::vector<item_id> waiting;
    time_point now{};
    /// When the runs were last looked at.
    time_point checked_at{};
    scheduler_actions output;

private:
    void wait(scheduled_item& item);
    void start(scheduled_item& item, engine_state& at);
    /// The run is over; its slot is free.
    void release(scheduled_item& item);
    void cancel(scheduled_item& item);
    /// Goes on after the kept events, or from the start where they can't be used.
    void run_again(scheduled_item& item, run_cause cause);
    /// By value: the argument is mostly a part of what is removed.
    void remove(item_id id);
    void give_up(scheduled_item& item, give_up_reason reason);
    void forget_finished_jobs();
    /// Where this process stood still, its engines were not silent: they were not heard.
    void allow_for_lag();
    void check_run(scheduled_item& item, duration median);
    void give_up_late_items();
    [[nodiscard]] bool comes_before(const item_id& a, const item_id& b) const;
    [[nodiscard]] scheduled_item* item_of(run_id run);
    [[nodiscard]] tokens usual_output_of(const model_name& model) const;
    void remember_groups(const job_opened& opened);
    [[nodiscard]] engine_state* choose(const scheduled_item& item);
    void learn_output(const scheduled_item& item);

    /// Moving average of whole outputs, per model; stands in where an item has no estimate.
    std::map<model_name, tokens> usual_output;
    /// Groups of earlier jobs, the oldest first.
    std::set<item_group_id> known_groups;
    std::deque<item_group_id> known_groups_by_age;
    std::uint64_t last_run = 0;
};

} // namespace kingcupcart::batch
