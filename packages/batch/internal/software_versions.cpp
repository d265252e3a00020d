#include "batch/internal/item_scheduler_state.h"

#include <algorithm>
#include <optional>
#include <vector>

/// Keeps the text of each item to one software version.
namespace kingcupcart::batch {

bool item_scheduler::state::is_bound_to_version(const scheduled_item& item) const {
    return item.received_events > 0 && this->jobs.at(item.job).spec.is_resumable;
}

engine_state* item_scheduler::state::find_engine(scheduled_item& item, room_cache& rooms) {
    const job_opened& job = this->jobs.at(item.job).spec;
    const tokens needed = this->engines.expected_memory(item);
    if (!this->is_bound_to_version(item)) {
        return needed <= rooms.largest_room(job) ? this->choose_engine(item, engine_choice::any)
                                                 : nullptr;
    }
    const version_room room = rooms.room_of(item.origin, job);
    if (needed <= room.same) {
        engine_state* same_version = this->choose_engine(item, engine_choice::same_origin);
        if (same_version != nullptr) {
            return same_version;
        }
    }
    const auto reason = needed <= room.other ? this->reason_to_restart(item, room) : std::nullopt;
    if (!reason) {
        return nullptr;
    }
    engine_state* other_version = this->choose_engine(item, engine_choice::other_origin);
    if (other_version != nullptr) {
        this->restart(item, *reason);
    }
    return other_version;
}

std::optional<restart_reason>
item_scheduler::state::reason_to_restart(const scheduled_item& item,
                                         const version_room& room) const {
    if (!room.available_at) {
        return restart_reason::version_gone;
    }
    const time_point patient_until =
        item.waiting_since.value_or(this->now) +
        std::min(this->time_of_events(item), this->limits.max_version_wait);
    if (this->now >= patient_until || *room.available_at > patient_until) {
        return restart_reason::version_full;
    }
    return std::nullopt;
}

duration item_scheduler::state::time_of_events(const scheduled_item& item) const {
    return this->engines.median_event_interval() * static_cast<duration::rep>(item.received_events);
}

bool item_scheduler::state::is_restart_worthwhile(const scheduled_item& item,
                                                  const engine_state& current,
                                                  duration gain) const {
    const duration lost = this->time_of_events(item);
    // Most slow phases are short: the item stays for as long as its events took.
    const time_point slow_since =
        std::max(current.slow_since.value_or(this->now), item.run_started);
    return gain - lost >= this->limits.min_move_gain &&
           this->now - slow_since >= std::min(lost, this->limits.max_version_wait);
}

void item_scheduler::state::restart(scheduled_item& item, restart_reason reason) {
    if (item.received_events == 0) {
        return;
    }
    const job_opened& job = this->jobs.at(item.job).spec;
    const auto events = static_cast<std::int64_t>(item.received_events);
    const duration waited = this->now - item.waiting_since.value_or(this->now);
    this->output.push_back(
        item_restarted{item.job, item.spec.id, item.origin.software, item.received_events,
                       tokens(events * job.tokens_per_event.count()), reason, waited});
    item.discard_events();
}

void item_scheduler::state::discard_ambiguous_texts(const engine_state& changed) {
    const text_origin announced = origin_of(changed.descriptor);
    std::vector<item_id> ambiguous;
    for (auto& [id, item] : this->items) {
        const bool is_sender = std::erase(item.senders, changed.descriptor.id) > 0;
        if (is_sender && item.origin != announced) {
            ambiguous.push_back(id);
        }
    }
    for (const item_id& id : ambiguous) {
        scheduled_item& item = this->items.at(id);
        this->restart(item, restart_reason::version_unknown);
        if (item.is_running()) {
            this->cancel(item);
            this->reschedule(item, run_cause::again);
        }
    }
}

} // namespace kingcupcart::batch
