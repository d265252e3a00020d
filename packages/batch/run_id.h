#pragma once

#include "base/strong_id.h"

#include <cstdint>

namespace kingcupcart::batch {

/// Identifies a run: one attempt of an item on one engine. Unique within a scheduler.
using run_id = strong_id<struct run_tag, std::uint64_t>;

} // namespace kingcupcart::batch
