#include "keeper/internal/store_registry.h"

#include <algorithm>
#include <string>

namespace kingcupcart::keeper {

namespace {

/// Once this time has passed since the first store registered, the stores bootstrap their group
/// although some are missing, as many as the tolerated losses at most.
constexpr duration bootstrap_wait = std::chrono::seconds(3);
/// A store without a link for this time is removed, and no longer announced to other instances.
constexpr duration unlinked_store_retention = std::chrono::seconds(30);

} // namespace

void store_registry::connected(const wire::hello& hello) {
    store_record& record = this->stores[hello.instance];
    record.address = hello.address;
    record.is_linked = true;
}

void store_registry::disconnected(const instance_id& store, time_point now) {
    const auto found = this->stores.find(store);
    if (found != this->stores.end()) {
        found->second.is_linked = false;
        found->second.disconnected_at = now;
    }
}

void store_registry::registered(const instance_id& store,
                                const wire::store_registration& registration, time_point now) {
    store_record& record = this->stores[store];
    record.disk = registration.disk;
    record.may_bootstrap = registration.may_bootstrap;
    if (registration.may_bootstrap && !this->first_registration_at) {
        this->first_registration_at = now;
    }
}

void store_registry::report_received(const instance_id& /*store*/,
                                     const wire::store_report& report) {
    if (report.is_leader && report.term >= this->newest_report.term) {
        this->newest_report = report;
    }
}

void store_registry::remove_expired(time_point now) {
    std::erase_if(this->stores, [&](const auto& item) {
        return !item.second.is_linked &&
               now - item.second.disconnected_at > unlinked_store_retention;
    });
}

std::vector<replicated::store_member> store_registry::choose_initial_members(time_point now) const {
    std::vector<replicated::store_member> ready;
    for (const auto& [id, record] : this->stores) {
        if (record.may_bootstrap && record.is_linked) {
            ready.push_back({instance_id(record.address.to_string()), record.disk});
        }
    }
    const bool is_late =
        this->first_registration_at && now - *this->first_registration_at > bootstrap_wait;
    const std::size_t minimum =
        is_late ? this->required_voters() - this->tolerated_losses : this->required_voters();
    if (ready.size() < minimum) {
        return {};
    }
    ready.resize(std::min(ready.size(), this->required_voters()));
    return ready;
}

std::vector<wire::store_address>
store_registry::addresses(const std::set<instance_id>& leaving) const {
    std::vector<wire::store_address> result;
    for (const auto& [id, record] : this->stores) {
        result.push_back({id, record.address, leaving.contains(id)});
    }
    return result;
}

bool store_registry::can_retire(const instance_id& store,
                                const std::set<instance_id>& leaving) const {
    const auto remaining =
        std::count_if(this->stores.begin(), this->stores.end(), [&](const auto& item) {
            return item.second.is_linked && item.first != store && !leaving.contains(item.first);
        });
    return static_cast<std::size_t>(remaining) >= this->required_voters();
}

bool store_registry::is_drained(const instance_id& store) const {
    const auto found = this->stores.find(store);
    if (found == this->stores.end() ||
        this->newest_report.voters.size() < this->required_voters()) {
        return false;
    }
    const instance_id member(found->second.address.to_string());
    const auto& voters = this->newest_report.voters;
    return std::find(voters.begin(), voters.end(), member) == voters.end();
}

} // namespace kingcupcart::keeper
