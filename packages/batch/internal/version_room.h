#pragma once

#include "base/clock.h"
#include "base/units.h"

#include <optional>

namespace kingcupcart::batch {

/// Room of a job's engines for the items whose texts have one origin.
struct version_room {
    /// The largest item that an engine of this origin accepts, and that any other engine accepts;
    /// negative if none has a free slot.
    tokens same{-1};
    tokens other{-1};
    /// When an engine of this origin accepts runs, unless it is full then; empty if none is there
    /// that may run the job's items.
    std::optional<time_point> available_at;
};

} // namespace kingcupcart::batch
