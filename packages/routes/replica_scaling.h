#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <map>

namespace kingcupcart::routes {

/// Bounds and prices for the replicas that are ordered for a service.
struct replica_scaling {
    /// Bounds of the number of replicas in one failure domain, normal and spot ones together.
    replica_count min;
    replica_count max;
    /// Time until a replica that was ordered serves requests.
    duration boot_time = std::chrono::seconds(4);
    /// Price of a spot replica, as a multiple of that of a normal one in the same failure domain.
    relative_price spot_price{0.22};
    /// Price of a normal replica by failure domain. Replicas are ordered in these domains, or in
    /// those that have replicas if none is listed.
    std::map<failure_domain_id, relative_price> prices;
};

} // namespace kingcupcart::routes
