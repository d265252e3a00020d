#include "batch/internal/item_scheduler_state.h"

#include <algorithm>
#include <vector>

/// Periodic checks of the item scheduler: silent runs, slow runs and items past their time limit.
namespace kingcupcart::batch {

void item_scheduler::state::on(const timer_expired& /*expired*/) {
    this->compensate_for_stall();
    this->last_check_at = this->now;
    const duration median = this->engines.median_event_interval();
    this->engines.track_slowness(this->now);
    std::vector<item_id> running;
    running.reserve(this->runs.size());
    for (const auto& [run, id] : this->runs) {
        running.push_back(id);
    }
    for (const item_id& id : running) {
        this->check_run(this->items.at(id), median);
    }
    this->give_up_late_items();
}

void item_scheduler::state::compensate_for_stall() {
    const duration stall = this->now - this->last_check_at - this->limits.check_interval;
    if (this->last_check_at == time_point{} || stall < this->limits.check_interval) {
        return;
    }
    for (const auto& [run, id] : this->runs) {
        scheduled_item& item = this->items.at(id);
        item.last_event_at = std::min(this->now, item.last_event_at + stall);
    }
}

void item_scheduler::state::check_run(scheduled_item& item, duration median) {
    const job_opened& job = this->jobs.at(item.job).spec;
    const duration silence = this->now - item.last_event_at;
    const duration allowed =
        item.has_event_in_run ? this->limits.event_timeout : this->limits.first_event_timeout;
    if (silence > allowed) {
        engine_state* target_engine = this->engines.find(item.engine);
        if (target_engine != nullptr) {
            this->engines.back_off(*target_engine, this->now);
        }
        this->cancel(item);
        this->reschedule(item, run_cause::moved);
        return;
    }
    engine_state* target_engine = this->engines.find(item.engine);
    // A closed job starts no new runs.
    const bool may_move =
        target_engine != nullptr && job.is_resumable && !this->jobs.at(item.job).is_closed;
    if (!may_move || item.moves >= this->limits.max_moves ||
        this->engines.slowness(*target_engine, this->now) < this->limits.move_from_slowness) {
        return;
    }
    const auto remaining_events =
        static_cast<duration::rep>(item.estimate_remaining_events(job.tokens_per_event));
    const duration gain = (target_engine->event_interval - median) * remaining_events;
    if (gain < this->limits.min_move_gain) {
        return;
    }
    const bool is_bound = this->is_bound_to_version(item);
    engine_state* better =
        this->find_faster_engine(item, is_bound ? engine_choice::same_origin : engine_choice::any);
    if (better == nullptr && is_bound && this->is_restart_worthwhile(item, *target_engine, gain)) {
        better = this->find_faster_engine(item, engine_choice::other_origin);
        if (better != nullptr) {
            this->restart(item, restart_reason::version_slow);
        }
    }
    if (better == nullptr) {
        return;
    }
    this->cancel(item);
    ++item.moves;
    item.avoided_engine = target_engine->descriptor.id;
    item.next_cause = run_cause::moved;
    this->start(item, *better);
}

engine_state* item_scheduler::state::find_faster_engine(const scheduled_item& item,
                                                        engine_choice choice) {
    const job_opened& job = this->jobs.at(item.job).spec;
    engine_state* best = this->engines.choose_engine(item, job, choice, this->now);
    if (best == nullptr || best->descriptor.id == item.engine || this->engines.is_limited(*best) ||
        this->engines.slowness(*best, this->now) > this->limits.move_to_slowness) {
        return nullptr;
    }
    return best;
}

void item_scheduler::state::give_up_late_items() {
    std::vector<item_id> late;
    for (const auto& [id, item] : this->items) {
        if (this->jobs.at(item.job).spec.give_up_at <= this->now) {
            late.push_back(id);
        }
    }
    for (const item_id& id : late) {
        scheduled_item& item = this->items.at(id);
        if (item.is_running()) {
            this->cancel(item);
        }
        this->give_up(item, give_up_reason::too_late);
    }
}

} // namespace kingcupcart::batch
