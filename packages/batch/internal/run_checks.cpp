#include "batch/internal/item_scheduler_state.h"

#include <algorithm>
#include <vector>

/// What the item scheduler looks for as time passes: silent and slow runs, items that are too late.
namespace kingcupcart::batch {

void item_scheduler::state::on(const timer_expired& /*passed*/) {
    this->allow_for_lag();
    this->checked_at = this->now;
    const duration median = this->engines.median_pace();
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

void item_scheduler::state::allow_for_lag() {
    const duration lag = this->now - this->checked_at - this->limits.check_interval;
    if (this->checked_at == time_point{} || lag < this->limits.check_interval) {
        return;
    }
    for (const auto& [run, id] : this->runs) {
        scheduled_item& item = this->items.at(id);
        item.last_event_at = std::min(this->now, item.last_event_at + lag);
    }
}

void item_scheduler::state::check_run(scheduled_item& item, duration median) {
    const job_opened& job = this->jobs.at(item.job).facts;
    const duration silence = this->now - item.last_event_at;
    const duration allowed =
        item.has_event_in_run ? this->limits.silence_limit : this->limits.first_event_limit;
    if (silence > allowed) {
        engine_state* at = this->engines.find(item.engine);
        if (at != nullptr) {
            this->engines.pause(*at, this->now);
        }
        this->cancel(item);
        this->run_again(item, run_cause::moved);
        return;
    }
    engine_state* at = this->engines.find(item.engine);
    // Of a closed job nothing is sent any more.
    const bool may_move = at != nullptr && job.is_resumable && !this->jobs.at(item.job).is_closed;
    if (!may_move || item.moves >= this->limits.moves_max ||
        this->engines.slowness(*at, this->now) < this->limits.bad_slowness) {
        return;
    }
    const auto left = static_cast<duration::rep>(item.events_left(job.tokens_per_event));
    if ((at->pace - median) * left < this->limits.move_gain) {
        return;
    }
    engine_state* better = this->engines.choose(item, job, this->now);
    if (better == nullptr || better == at ||
        this->engines.slowness(*better, this->now) > this->limits.good_slowness) {
        return;
    }
    this->cancel(item);
    ++item.moves;
    item.avoided = at->known.id;
    item.next_cause = run_cause::moved;
    this->start(item, *better);
}

void item_scheduler::state::give_up_late_items() {
    std::vector<item_id> late;
    for (const auto& [id, item] : this->items) {
        if (this->jobs.at(item.job).facts.give_up_at <= this->now) {
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
