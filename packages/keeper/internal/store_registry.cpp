#include "keeper/internal/store_registry.h"

#include <algorithm>
#include <string>

namespace kingcupcart::keeper {

namespace {

/// Fewer stores than wanted begin the group where no more come in this time after the first one.
constexpr duration founding_patience = std::chrono::seconds(3);
/// A store that is not linked for so long is no longer named to others.
constexpr duration lost_memory = std::chrono::seconds(30);

} // namespace

void store_registry::joined(const wire::hello& hello) {
    entry& one = this->stores[hello.instance];
    one.address = hello.address;
    one.is_linked = true;
}

void store_registry::lost(const instance_id& store, time_point now) {
    const auto found = this->stores.find(store);
    if (found != this->stores.end()) {
        found->second.is_linked = false;
        found->second.lost_at = now;
    }
}

void store_registry::presented(const instance_id& store, const wire::store_registration& said,
                               time_point now) {
    entry& one = this->stores[store];
    one.disk = said.disk;
    one.may_bootstrap = said.may_bootstrap;
    if (said.may_bootstrap && !this->first_founder) {
        this->first_founder = now;
    }
}

void store_registry::reported(const instance_id& /*store*/, const wire::store_report& said) {
    if (said.leads && said.term >= this->newest.term) {
        this->newest = said;
    }
}

void store_registry::forget_lost(time_point now) {
    std::erase_if(this->stores, [&](const auto& item) {
        return !item.second.is_linked && now - item.second.lost_at > lost_memory;
    });
}

std::vector<replicated::store_member> store_registry::choose_founders(time_point now) const {
    std::vector<replicated::store_member> ready;
    for (const auto& [name, one] : this->stores) {
        if (one.may_bootstrap && one.is_linked) {
            ready.push_back({instance_id(one.address.to_string()), one.disk});
        }
    }
    const bool is_late = this->first_founder && now - *this->first_founder > founding_patience;
    if (ready.size() < this->wanted() && !is_late) {
        return {};
    }
    ready.resize(std::min(ready.size(), this->wanted()));
    return ready;
}

std::vector<wire::store_address>
store_registry::addresses(const std::set<instance_id>& leaving) const {
    std::vector<wire::store_address> all;
    for (const auto& [name, one] : this->stores) {
        all.push_back({name, one.address, leaving.contains(name)});
    }
    return all;
}

bool store_registry::can_spare(const instance_id& store,
                               const std::set<instance_id>& leaving) const {
    const auto remaining =
        std::count_if(this->stores.begin(), this->stores.end(), [&](const auto& item) {
            return item.second.is_linked && item.first != store && !leaving.contains(item.first);
        });
    return static_cast<std::size_t>(remaining) >= this->wanted();
}

bool store_registry::is_emptied(const instance_id& store) const {
    const auto found = this->stores.find(store);
    if (found == this->stores.end() || this->newest.voters.size() < this->wanted()) {
        return false;
    }
    const instance_id member(found->second.address.to_string());
    const auto& voters = this->newest.voters;
    return std::find(voters.begin(), voters.end(), member) == voters.end();
}

} // namespace kingcupcart::keeper
