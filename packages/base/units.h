#pragma once

#include "base/quantity.h"

#include <cstdint>

/// Quantities shared by all packages. Durations use <chrono>.
namespace kingcupcart {

using tokens = quantity<struct tokens_unit, std::int64_t>;
using bytes = quantity<struct bytes_unit, std::int64_t>;
using tokens_per_second = quantity<struct tokens_per_second_unit, double>;
using requests_per_second = quantity<struct requests_per_second_unit, double>;
using replica_count = quantity<struct replica_unit, std::int64_t>;
/// Requests that can run at the same time.
using slot_count = quantity<struct slot_unit, std::int64_t>;
/// Price of a replica for a time, as a multiple of the usual price.
using relative_price = quantity<struct relative_price_unit, double>;

} // namespace kingcupcart
