#pragma once

#include "base/strong_id.h"

#include <cstdint>

namespace kingcupcart::scaling {

enum class replica_kind {
    normal,
    /// The platform may reclaim the replica, and then reclaims all of a failure domain at once.
    spot
};

[[nodiscard]] inline const char* to_string(replica_kind kind) {
    return kind == replica_kind::spot ? "spot" : "normal";
}

/// Identifies one transmission of an order.
using order_number = strong_id<struct order_number_tag, std::uint64_t>;

} // namespace kingcupcart::scaling
