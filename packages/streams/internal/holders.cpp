#include "streams/holders.h"

#include "base/stable_hash.h"
#include "streams/record_limits.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kingcupcart::streams {

namespace {

/// The keepers by descending rendezvous weight.
std::vector<keeper_place> rank(const stream_id& stream, const std::vector<keeper_place>& keepers) {
    const std::uint64_t seed = stable_hash(stream.value());
    std::vector<std::pair<std::uint64_t, const keeper_place*>> weights;
    weights.reserve(keepers.size());
    for (const keeper_place& place : keepers) {
        weights.emplace_back(stable_hash(place.keeper.value(), seed), &place);
    }
    std::sort(weights.begin(), weights.end(), [](const auto& left, const auto& right) {
        return std::pair(left.first, left.second->keeper) >
               std::pair(right.first, right.second->keeper);
    });
    std::vector<keeper_place> ranked;
    ranked.reserve(keepers.size());
    for (const auto& [weight, place] : weights) {
        ranked.push_back(*place);
    }
    return ranked;
}

/// Moves the first keeper of the domain, if it has one, to the front.
void prefer_domain(std::vector<keeper_place>& ranked, const failure_domain_id& domain) {
    const auto found = std::find_if(ranked.begin(), ranked.end(), [&](const keeper_place& place) {
        return place.domain == domain;
    });
    if (found != ranked.end()) {
        std::rotate(ranked.begin(), found, found + 1);
    }
}

} // namespace

std::vector<instance_id> choose_holders(const stream_id& stream,
                                        const failure_domain_id& own_domain,
                                        const std::vector<keeper_place>& keepers) {
    std::vector<keeper_place> ranked = rank(stream, keepers);
    prefer_domain(ranked, own_domain);
    std::vector<instance_id> holders;
    for (std::size_t i = 0; i < std::min(ranked.size(), holders_per_record); ++i) {
        holders.push_back(ranked[i].keeper);
    }
    return holders;
}

lookup_order order_for_lookup(const stream_id& stream, const failure_domain_id& own_domain,
                              const std::vector<keeper_place>& keepers) {
    std::vector<keeper_place> ranked = rank(stream, keepers);
    prefer_domain(ranked, own_domain);
    // After the keeper of the own domain, the first of the others is the first one of all, unless
    // that is the keeper of the own domain itself.
    lookup_order order;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        (i < holders_per_record ? order.likely : order.others).push_back(ranked[i].keeper);
    }
    return order;
}

} // namespace kingcupcart::streams
