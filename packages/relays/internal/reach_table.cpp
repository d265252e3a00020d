#include "relays/reach_table.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::relays {

namespace {

/// A domain's relays are preferred by its own gateways if their share of the domain's gateways is
/// at least one part in this of the share of relays among all.
constexpr std::size_t max_load_ratio = 2;

} // namespace

reach_table::reach_table(std::uint64_t seed) : random(seed) {}

void reach_table::add(const relay& gateway) {
    this->gateways[gateway.id] = {gateway.place, {}};
}

void reach_table::remove(const instance_id& gateway) {
    this->gateways.erase(gateway);
}

bool reach_table::set_cut_off(const instance_id& gateway, std::set<backend_name> backends) {
    const auto found = this->gateways.find(gateway);
    if (found == this->gateways.end() || found->second.cut_off == backends) {
        return false;
    }
    found->second.cut_off = std::move(backends);
    return true;
}

std::vector<instance_id> reach_table::draw(const relay& asker, const backend_name& backend) {
    std::vector<instance_id> own;
    std::vector<instance_id> others;
    std::size_t domain_size = 0;
    for (const auto& [id, gateway] : this->gateways) {
        const bool is_own = gateway.place.domain == asker.place.domain;
        domain_size += is_own ? 1 : 0;
        if (id != asker.id && !gateway.cut_off.contains(backend)) {
            (is_own ? own : others).push_back(id);
        }
    }
    const std::size_t relays = own.size() + others.size();
    const bool prefers_own =
        own.size() * this->gateways.size() * max_load_ratio >= relays * domain_size;
    if (!prefers_own) {
        others.insert(others.end(), own.begin(), own.end());
        own.clear();
    }
    this->sort(own);
    this->sort(others);
    const std::size_t count = std::min(max_candidates, relays);
    const std::size_t from_others =
        std::min(others.size(), count - std::min(own.size(), max_of_domain));
    std::vector<instance_id> drawn(own.begin(),
                                   own.begin() + static_cast<std::ptrdiff_t>(count - from_others));
    drawn.insert(drawn.end(), others.begin(),
                 others.begin() + static_cast<std::ptrdiff_t>(from_others));
    ++this->draws;
    for (const instance_id& id : drawn) {
        this->gateways.at(id).last_draw = this->draws;
    }
    return drawn;
}

void reach_table::sort(std::vector<instance_id>& candidates) {
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [this](const instance_id& left, const instance_id& right) {
                         return this->gateways.at(left).last_draw <
                                this->gateways.at(right).last_draw;
                     });
}

std::size_t reach_table::cut_off_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->gateways.begin(), this->gateways.end(),
                      [](const auto& entry) { return !entry.second.cut_off.empty(); }));
}

} // namespace kingcupcart::relays
