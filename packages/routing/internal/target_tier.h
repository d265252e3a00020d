#pragma once

#include "routing/internal/target_state.h"

#include <algorithm>
#include <vector>

namespace kingcupcart::routing {

/// Targets of a pool at one distance. A leaving target is in neither list.
struct target_tier {
    /// Ordered by rank.
    std::vector<target_state*> in_use;
    /// Ejected for slowness or failure, or being probed.
    std::vector<target_state*> out_of_use;

    void add(target_state& target) {
        if (!target.health.is_in_use()) {
            this->out_of_use.push_back(&target);
            return;
        }
        const auto position = std::lower_bound(
            this->in_use.begin(), this->in_use.end(), target.rank,
            [](const target_state* entry, std::uint64_t rank) { return entry->rank < rank; });
        this->in_use.insert(position, &target);
    }
    void remove(const target_state& target) {
        std::erase(this->in_use, &target);
        std::erase(this->out_of_use, &target);
    }
    [[nodiscard]] bool empty() const { return this->in_use.empty() && this->out_of_use.empty(); }
};

} // namespace kingcupcart::routing
