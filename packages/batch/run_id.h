#pragma once

#include "base/strong_id.h"

#include <cstdint>

namespace kingcupcart::batch {

/// One sending of an item to one engine; unique within one scheduler.
using run_id = strong_id<struct run_tag, std::uint64_t>;

} // namespace kingcupcart::batch
