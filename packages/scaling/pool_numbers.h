#pragma once

#include "base/units.h"
#include "scaling/replica_pool.h"
#include "scaling/scaler_messages.h"

namespace kingcupcart::scaling {

/// Replicas that serve, and that should according to the latest accepted order.
struct pool_numbers {
    replica_pool pool;
    replica_count present;
    replica_count ordered;
};

} // namespace kingcupcart::scaling
