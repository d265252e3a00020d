#pragma once

#include "base/ids.h"
#include "routes/engine_profile.h"

#include <cstddef>
#include <optional>

namespace kingcupcart::routes {

/// A set of targets that do the same work.
struct service {
    backend_name name;
    /// Connections that one target accepts from all of its callers.
    std::size_t connections_max = 0;
    /// Set where the targets are model engines.
    std::optional<engine_profile> engine;
};

} // namespace kingcupcart::routes
