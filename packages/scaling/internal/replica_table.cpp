#include "scaling/replica_table.h"

namespace kingcupcart::scaling {

void replica_table::update(const replica_updated& updated) {
    const replica_pool pool{updated.service, updated.domain, updated.kind};
    const auto known = this->replicas.find(updated.replica);
    const bool was_present =
        known != this->replicas.end() && known->second.pool == pool && !known->second.is_leaving;
    if (known != this->replicas.end()) {
        this->withdraw(known->second);
    }
    this->replicas.insert_or_assign(updated.replica, replica_state{pool, updated.is_leaving});
    pool_state& state = this->pools[pool];
    if (updated.is_leaving) {
        state.leaving += replica_count(1);
        return;
    }
    state.present += replica_count(1);
    if (!was_present && state.lost > replica_count()) {
        state.lost -= replica_count(1);
    }
}

void replica_table::remove(const target_id& replica, time_point now) {
    const auto known = this->replicas.find(replica);
    if (known == this->replicas.end()) {
        return;
    }
    this->withdraw(known->second);
    if (!known->second.is_leaving) {
        pool_state& state = this->pools[known->second.pool];
        if (state.latest_loss + this->lost_memory < now) {
            state.lost = replica_count();
        }
        state.lost += replica_count(1);
        state.latest_loss = now;
    }
    this->replicas.erase(known);
}

replica_count replica_table::present(const replica_pool& pool) const {
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? replica_count() : found->second.present;
}

replica_count replica_table::lost(const replica_pool& pool, time_point now) const {
    const auto found = this->pools.find(pool);
    const bool is_remembered =
        found != this->pools.end() && now <= found->second.latest_loss + this->lost_memory;
    return is_remembered ? found->second.lost : replica_count();
}

bool replica_table::is_leaving(const replica_pool& pool) const {
    const auto found = this->pools.find(pool);
    return found != this->pools.end() && found->second.leaving > replica_count();
}

std::set<failure_domain_id> replica_table::domains(const backend_name& service) const {
    std::set<failure_domain_id> found;
    for (const auto& [pool, state] : this->pools) {
        if (pool.service == service) {
            found.insert(pool.domain);
        }
    }
    return found;
}

void replica_table::withdraw(const replica_state& state) {
    pool_state& pool = this->pools[state.pool];
    (state.is_leaving ? pool.leaving : pool.present) -= replica_count(1);
}

} // namespace kingcupcart::scaling
