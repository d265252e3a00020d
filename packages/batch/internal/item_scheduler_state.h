#pragma once

#include "batch/internal/capacity.h"
#include "batch/internal/capacity_shares.h"
#include "batch/internal/engine_choice.h"
#include "batch/internal/engine_pool.h"
#include "batch/internal/group_ranks.h"
#include "batch/internal/room_cache.h"
#include "batch/internal/scheduled_item.h"
#include "batch/internal/version_room.h"
#include "batch/internal/waiting_key.h"
#include "batch/internal/waiting_order.h"
#include "batch/item_scheduler.h"
#include "permits/permit_account.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcupcart::batch {

/// Implementation of the item scheduler.
class item_scheduler::state {
public:
    state(scheduler_limits limits, permits::permit_account* shared_permits)
        : limits(limits),
          own_permits({}, 0),
          permits(shared_permits == nullptr ? &this->own_permits : shared_permits),
          engines(limits, *this->permits) {}

    struct job_state {
        job_opened spec;
        group_ranks ranks;
        trainer_share* share = nullptr;
        bool is_closed = false;
        time_point opened_at{};
    };

    void on(const job_opened& opened);
    void on(const job_closed& closed);
    void on(const results_recorded& recorded);
    void on(const job_services_changed& updated);
    void on(const engine_updated& updated);
    void on(const engine_removed& removed);
    void on(const run_sent& sent);
    void on(const run_progressed& progressed);
    void on(const run_completed& completed);
    void on(const run_failed& failed);
    void on(const permits_updated& /*updated*/) {}
    void on(const timer_expired& expired);
    /// Starts the waiting items for which an engine has room.
    void start_waiting_items();
    [[nodiscard]] capacity available_capacity() const {
        return this->now < this->short_until ? capacity::short_of_demand : capacity::sufficient;
    }
    /// Ranks the groups of the job again, and moves its waiting items accordingly.
    void update_ranks(job_state& job);
    /// Ranks the groups of all jobs with a due time again, since what remains of them has changed.
    void update_due_jobs();
    /// Asks for the permits that waiting items could use.
    void update_permit_demands();

    scheduler_limits limits;
    permits::permit_account own_permits;
    /// Never null.
    permits::permit_account* permits;
    engine_pool engines;
    std::map<job_id, job_state> jobs;
    std::unordered_map<item_id, scheduled_item> items;
    std::unordered_map<run_id, item_id> runs;
    waiting_order waiting;
    capacity_shares shares;
    /// Slots count as short until then, because a group that its submitter needs was late.
    time_point short_until{};
    time_point now{};
    /// When the runs were last checked.
    time_point last_check_at{};
    scheduler_actions output;

private:
    void enqueue(scheduled_item& item);
    void start(scheduled_item& item, engine_state& target_engine);
    /// Ends the item's run and frees its slot.
    void release_slot(scheduled_item& item);
    void cancel(scheduled_item& item);
    /// Queues the item to resume after its received events, or to restart if they are unusable.
    void reschedule(scheduled_item& item, run_cause cause);
    /// Takes the identifier by value, since callers usually pass a member of the removed item.
    void remove(item_id id, bool is_complete);
    /// Removes the item from the waiting ones and from its group, and deletes it.
    void erase(scheduled_item& item, bool is_complete);
    void give_up(scheduled_item& item, give_up_reason reason);
    void erase_finished_jobs();
    /// Extends the runs' timeouts by the time for which this process itself was stalled, since it
    /// could not receive events meanwhile.
    void compensate_for_stall();
    /// Moves the item to another engine if its run timed out, or if its engine is slow and a move
    /// pays off.
    void check_run(scheduled_item& item, duration median);
    /// The best engine for the running item; null if it is its own, or not fast enough for a move.
    [[nodiscard]] engine_state* find_faster_engine(const scheduled_item& item,
                                                   engine_choice choice);
    void give_up_late_items();
    [[nodiscard]] waiting_key key_of(const scheduled_item& item) const;
    [[nodiscard]] scheduled_item* find_running_item(run_id run);
    [[nodiscard]] tokens mean_output_of(const model_name& model) const;
    void record_groups(const job_opened& opened);
    [[nodiscard]] engine_state* choose_engine(const scheduled_item& item, engine_choice choice);
    /// Whether the item resumes only on engines of its text's origin.
    [[nodiscard]] bool is_bound_to_version(const scheduled_item& item) const;
    /// The engine on which the waiting item is to start; null if it has to wait. Discards the
    /// item's events if that engine cannot continue them.
    [[nodiscard]] engine_state* find_engine(scheduled_item& item, room_cache& rooms);
    /// Why the item should start anew on an engine of another origin; empty if it should wait.
    [[nodiscard]] std::optional<restart_reason> reason_to_restart(const scheduled_item& item,
                                                                  const version_room& room) const;
    /// How long generating the item's events took.
    [[nodiscard]] duration time_of_events(const scheduled_item& item) const;
    /// Whether the item should leave its slow engine and start anew, where `gain` is what a move
    /// with its events would save.
    [[nodiscard]] bool is_restart_worthwhile(const scheduled_item& item,
                                             const engine_state& current, duration gain) const;
    /// Discards the item's events, so that its next run starts anew.
    void restart(scheduled_item& item, restart_reason reason);
    /// Restarts the items with events that the engine may have sent as another software version
    /// than it announces now.
    void discard_ambiguous_texts(const engine_state& changed);
    void update_mean_output(const scheduled_item& item);

    /// Moving average of complete outputs for each model; the estimate for items without one.
    std::map<model_name, tokens> mean_output;
    /// Groups of earlier jobs.
    std::set<item_group_id> earlier_groups;
    /// The same, the oldest first.
    std::deque<item_group_id> earlier_groups_by_age;
    /// Time between two events of a run, by which the waiting items are ordered.
    duration expected_interval{};
    std::uint64_t last_run = 0;
};

} // namespace kingcupcart::batch
