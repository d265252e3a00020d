#pragma once

#include "base/ids.h"
#include "routes/engine_profile.h"
#include "routes/replica_scaling.h"

#include <cstddef>
#include <optional>

namespace kingcupcart::routes {

/// A group of interchangeable targets.
struct service {
    backend_name name;
    /// Maximum number of connections that one target accepts, over all clients.
    std::size_t max_connections = 0;
    /// Set if the targets are model engines.
    std::optional<engine_profile> engine;
    /// Set if the keepers decide how many replicas the service has.
    std::optional<replica_scaling> scaling{};
};

} // namespace kingcupcart::routes
