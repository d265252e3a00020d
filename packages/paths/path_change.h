#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "paths/path_evidence.h"

namespace kingcupcart::paths {

/// The path to a target was lost, or is no longer believed to be.
struct path_change {
    target_id target;
    backend_name backend;
    bool is_lost = false;
    /// Why the path counts, or counted, as lost.
    path_evidence evidence = path_evidence::refused;
    /// Time since the evidence was first seen.
    duration age{};
};

} // namespace kingcupcart::paths
