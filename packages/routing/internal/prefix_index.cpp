#include "routing/prefix_index.h"

namespace kingcupcart::routing {

prefix_index::prefix_index(std::size_t max_entries, duration max_age)
    : max_entries(max_entries), max_age(max_age) {}

void prefix_index::add(const std::vector<prefix_hash>& blocks, const target_id& target,
                       time_point now) {
    for (const prefix_hash& block : blocks) {
        this->entries.insert_or_assign(block, entry{target, now});
        this->insertion_order.push_back(age_record{block, now});
    }
    while (this->insertion_order.size() > this->max_entries) {
        this->evict_oldest();
    }
}

void prefix_index::remove(prefix_hash block) {
    this->entries.erase(block);
}

void prefix_index::remove(const target_id& target) {
    std::erase_if(this->entries, [&](const auto& item) { return item.second.target == target; });
}

std::optional<prefix_index::match> prefix_index::find(const std::vector<prefix_hash>& blocks,
                                                      time_point now) const {
    for (std::size_t length = blocks.size(); length > 0; --length) {
        const auto found = this->entries.find(blocks[length - 1]);
        if (found == this->entries.end() || now - found->second.recorded_at > this->max_age) {
            continue;
        }
        const double share = static_cast<double>(length) / static_cast<double>(blocks.size());
        return match{found->second.target, share};
    }
    return std::nullopt;
}

void prefix_index::evict_oldest() {
    const age_record oldest = this->insertion_order.front();
    this->insertion_order.pop_front();
    const auto found = this->entries.find(oldest.block);
    if (found != this->entries.end() && found->second.recorded_at == oldest.recorded_at) {
        this->entries.erase(found);
    }
}

} // namespace kingcupcart::routing
