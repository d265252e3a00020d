#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "scaling/replica_kind.h"
#include "scaling/replica_pool.h"
#include "scaling/scaler_messages.h"

#include <compare>
#include <map>
#include <set>

namespace kingcupcart::scaling {

/// Counts the replicas that serve, and those that were lost without notice. Kept by every keeper,
/// so that a new leader neither takes a failure domain that it can't reach for an empty one nor
/// forgets to replace what was lost with the leader before it.
class replica_table {
public:
    explicit replica_table(duration lost_memory) : lost_memory(lost_memory) {}

    void update(const replica_updated& updated);
    void remove(const target_id& replica, time_point now);

    /// Replicas that serve, without those that are leaving.
    [[nodiscard]] replica_count present(const replica_pool& pool) const;
    /// Replicas that ended without notice and that no later one has replaced.
    [[nodiscard]] replica_count lost(const replica_pool& pool, time_point now) const;
    /// Spot replicas are leaving, so the platform reclaims those of the failure domain.
    [[nodiscard]] bool is_leaving(const replica_pool& pool) const;
    /// The failure domains in which the service has or had replicas.
    [[nodiscard]] std::set<failure_domain_id> domains(const backend_name& service) const;

private:
    struct replica_state {
        replica_pool pool;
        bool is_leaving = false;
    };
    struct pool_state {
        replica_count present;
        replica_count leaving;
        replica_count lost;
        time_point latest_loss{};
    };

    void withdraw(const replica_state& state);

    duration lost_memory;
    std::map<target_id, replica_state> replicas;
    std::map<replica_pool, pool_state> pools;
};

} // namespace kingcupcart::scaling
