#include "batch/internal/group_ranks.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace kingcupcart::batch {

std::map<item_group_id, item_rank> rank_groups(const job_opened& job,
                                               const std::set<item_group_id>& earlier) {
    std::map<item_group_id, std::int64_t> group_lengths;
    for (const pending_item& item : job.items) {
        std::int64_t& length = group_lengths[item.group];
        length = std::max(length, item.output.count());
    }
    std::map<item_group_id, item_rank> ranks;
    std::vector<std::pair<std::int64_t, item_group_id>> other_groups;
    std::size_t carried = 0;
    for (const auto& [group, length] : group_lengths) {
        if (earlier.contains(group)) {
            ranks[group] = item_rank::carried;
            ++carried;
        } else {
            other_groups.emplace_back(length, group);
        }
    }
    std::sort(other_groups.begin(), other_groups.end());
    const std::size_t required_count =
        job.groups_required == 0 ? group_lengths.size() : job.groups_required;
    const std::size_t remaining_required = required_count > carried ? required_count - carried : 0;
    for (std::size_t i = 0; i < other_groups.size(); ++i) {
        ranks[other_groups[i].second] =
            i < remaining_required ? item_rank::required : item_rank::spare;
    }
    return ranks;
}

} // namespace kingcupcart::batch
