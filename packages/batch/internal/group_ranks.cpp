#include "batch/internal/group_ranks.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace kingcupcart::batch {

std::map<item_group_id, item_rank> rank_groups(const job_opened& job,
                                               const std::set<item_group_id>& earlier) {
    std::map<item_group_id, std::int64_t> longest;
    for (const open_item& item : job.items) {
        std::int64_t& length = longest[item.group];
        length = std::max(length, item.output.count());
    }
    std::map<item_group_id, item_rank> ranks;
    std::vector<std::pair<std::int64_t, item_group_id>> others;
    std::size_t carried = 0;
    for (const auto& [group, length] : longest) {
        if (earlier.contains(group)) {
            ranks[group] = item_rank::carried;
            ++carried;
        } else {
            others.emplace_back(length, group);
        }
    }
    std::sort(others.begin(), others.end());
    const std::size_t wanted = job.groups_wanted == 0 ? longest.size() : job.groups_wanted;
    const std::size_t still_wanted = wanted > carried ? wanted - carried : 0;
    for (std::size_t i = 0; i < others.size(); ++i) {
        ranks[others[i].second] = i < still_wanted ? item_rank::wanted : item_rank::spare;
    }
    return ranks;
}

} // namespace kingcupcart::batch
