#include "batch/internal/group_ranks.h"

#include <algorithm>
#include <tuple>

namespace kingcupcart::batch {

namespace {

/// An item may well end after this part of its expected output: estimates are often far too long.
/// A group that is set aside because of one is late for certain.
constexpr int optimistic_divisor = 2;

} // namespace

void group_ranks::open(const job_opened& job, const std::set<item_group_id>& earlier) {
    for (const pending_item& item : job.items) {
        item_group& group = this->by_id[item.group];
        group.is_carried = earlier.contains(item.group);
        group.is_lost = false;
    }
    this->complete = job.groups_complete;
    this->required =
        job.groups_required == 0 ? this->by_id.size() + this->complete : job.groups_required;
    this->tokens_per_event = job.tokens_per_event;
    this->due_at = job.due_at;
}

void group_ranks::add(scheduled_item& item) {
    item.group = &this->by_id.at(item.spec.group);
    item.group->open_items.push_back(&item);
    ++this->open_item_total;
}

void group_ranks::remove(scheduled_item& item, bool is_complete) {
    item_group& group = *item.group;
    std::erase(group.open_items, &item);
    --this->open_item_total;
    item.group = nullptr;
    if (!is_complete) {
        group.is_lost = true;
        this->outdated = true;
    } else if (group.open_items.empty() && !group.is_lost) {
        ++this->complete;
        this->outdated = true;
    }
}

void group_ranks::measure(item_group& group, time_point now, duration interval,
                          capacity available) const {
    group.longest_remaining = 0;
    group.longest_output = tokens(0);
    group.waiting_items = 0;
    for (const scheduled_item* item : group.open_items) {
        group.longest_remaining = std::max(group.longest_remaining,
                                           item->estimate_remaining_events(this->tokens_per_event));
        group.longest_output = std::max(group.longest_output, item->spec.output);
        group.waiting_items += item->is_running() ? 0 : 1;
    }
    const auto events = static_cast<duration::rep>(group.longest_remaining);
    const duration expected = interval * events;
    group.is_lost_cause = this->due_at && now + expected / optimistic_divisor > *this->due_at;
    const bool is_late = this->due_at && now + expected > *this->due_at;
    group.is_late = available == capacity::short_of_demand ? is_late : group.is_lost_cause;
}

bool group_ranks::misses_due_time() const {
    return std::any_of(this->by_id.begin(), this->by_id.end(), [](const auto& entry) {
        const item_group& group = entry.second;
        return group.is_lost_cause && group.rank != item_rank::spare && !group.open_items.empty();
    });
}

std::vector<item_group*> group_ranks::update(time_point now, duration interval,
                                             capacity available) {
    struct earlier_state {
        item_group* group;
        item_rank rank;
        bool is_late;
    };
    std::vector<earlier_state> earlier;
    std::vector<item_group*> others;
    std::size_t certain = this->complete;
    for (auto& [id, group] : this->by_id) {
        if (group.open_items.empty()) {
            continue;
        }
        earlier.push_back({&group, group.rank, group.is_late});
        this->measure(group, now, interval, available);
        if (group.is_lost) {
            group.rank = item_rank::spare;
        } else if (group.is_carried) {
            group.rank = item_rank::carried;
            ++certain;
        } else {
            others.push_back(&group);
        }
    }
    std::stable_sort(others.begin(), others.end(), [](const item_group* a, const item_group* b) {
        return std::tie(a->is_late, a->longest_remaining, a->waiting_items, a->longest_output) <
               std::tie(b->is_late, b->longest_remaining, b->waiting_items, b->longest_output);
    });
    const std::size_t needed = this->required > certain ? this->required - certain : 0;
    for (std::size_t i = 0; i < others.size(); ++i) {
        others[i]->rank = i < needed ? item_rank::required : item_rank::spare;
    }
    this->outdated = false;
    std::vector<item_group*> changed;
    for (const earlier_state& state : earlier) {
        if (state.rank != state.group->rank || state.is_late != state.group->is_late) {
            changed.push_back(state.group);
        }
    }
    return changed;
}

} // namespace kingcupcart::batch
