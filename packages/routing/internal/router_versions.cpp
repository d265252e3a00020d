#include "routing/internal/router_state.h"

#include <algorithm>

/// How the router keeps requests to targets of one software version.
namespace kingcupcart::routing {

bool router::state::has_target(const route_query& query) const {
    const auto found = this->pools.find(query.backend);
    const target_tiers* tiers =
        found == this->pools.end() ? nullptr : found->second.tiers_of(query.software);
    const auto may_serve = [&](const target_state* target) {
        return !query.excludes(target->profile.id);
    };
    return tiers != nullptr &&
           std::any_of(tiers->begin(), tiers->end(), [&](const target_tier& tier) {
               return std::any_of(tier.in_use.begin(), tier.in_use.end(), may_serve) ||
                      std::any_of(tier.out_of_use.begin(), tier.out_of_use.end(), may_serve);
           });
}

std::size_t router::state::reserved_count(const target_pool& pool, const target_tiers& tiers,
                                          distance target_distance, time_point now) const {
    const auto index = static_cast<std::size_t>(target_distance);
    const target_tier& all = pool.by_distance[index];
    const std::size_t reserved = this->reserved_count(pool, all, now);
    if (&tiers == &pool.by_distance || reserved == 0) {
        return reserved;
    }
    const auto& in_use = tiers[index].in_use;
    const std::uint64_t last_rank = all.in_use[reserved - 1]->rank;
    const auto end = std::upper_bound(
        in_use.begin(), in_use.end(), last_rank,
        [](std::uint64_t rank, const target_state* target) { return rank < target->rank; });
    return static_cast<std::size_t>(end - in_use.begin());
}

bool router::state::can_leave_reserve(const target_id& target, const route_query& query,
                                      time_point now) const {
    const auto known = this->targets.find(target);
    const auto found = this->pools.find(query.backend);
    const target_tiers* tiers =
        found == this->pools.end() ? nullptr : found->second.tiers_of(query.software);
    if (known == this->targets.end() || tiers == nullptr) {
        return false;
    }
    const distance target_distance = known->second->target_distance;
    const auto index = static_cast<std::size_t>(target_distance);
    const auto& in_use = (*tiers)[index].in_use;
    const auto& all_in_use = found->second.by_distance[index].in_use;
    const std::size_t all_reserved =
        this->reserved_count(found->second, found->second.by_distance, target_distance, now);
    // Where all targets are reserved, they share the long work.
    const std::size_t first =
        all_reserved == all_in_use.size()
            ? 0
            : this->reserved_count(found->second, *tiers, target_distance, now);
    return std::any_of(in_use.begin() + static_cast<std::ptrdiff_t>(first), in_use.end(),
                       [&](const target_state* other) {
                           return other->profile.id != target && !query.excludes(other->profile.id);
                       });
}

} // namespace kingcupcart::routing
