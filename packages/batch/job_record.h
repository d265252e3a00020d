#pragma once

#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/item_result.h"
#include "batch/job.h"

#include <cstddef>
#include <set>
#include <unordered_map>
#include <vector>

namespace kingcupcart::batch {

/// A job with its results so far.
struct job_record {
    job content;
    /// The job is retained until then, and longer if it has not ended.
    wall_time retained_until{};
    bool is_ended = false;
    /// In the order of their positions. A result's position never changes.
    std::vector<item_result> results;
    /// Index into `results` of each item that has a result.
    std::unordered_map<item_id, std::size_t> positions;
    /// Index into `content.items` of each item.
    std::unordered_map<item_id, std::size_t> item_indices;

    [[nodiscard]] bool has_result(const item_id& item) const {
        return this->positions.contains(item);
    }
    [[nodiscard]] bool is_complete() const {
        return this->results.size() == this->content.items.size();
    }
    /// Whether calls of the account reach the job. A job without an account was submitted while the
    /// configuration had none, and calls without one were permitted without a key.
    [[nodiscard]] bool is_visible_to(const account_name& caller) const {
        const account_name& owner = this->content.account;
        return owner.value().empty() || caller.value().empty() || owner == caller;
    }
    /// Number of groups whose items all have a completed result.
    [[nodiscard]] std::size_t complete_group_count() const {
        std::set<item_group_id> incomplete;
        std::set<item_group_id> groups;
        for (const job_item& item : this->content.items) {
            groups.insert(item.group);
            const auto position = this->positions.find(item.id);
            if (position == this->positions.end() ||
                !this->results[position->second].is_completed) {
                incomplete.insert(item.group);
            }
        }
        return groups.size() - incomplete.size();
    }
    /// Null if the job has no such item.
    [[nodiscard]] const job_item* find_item(const item_id& item) const {
        const auto found = this->item_indices.find(item);
        return found == this->item_indices.end() ? nullptr : &this->content.items[found->second];
    }
};

} // namespace kingcupcart::batch
