#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>

namespace kingcupcart::batch {

/// What the scheduler has to know of an engine.
struct engine {
    target_id id;
    backend_name service;
    /// Requests that it runs side by side.
    int slots = 1;
    /// Room for running requests and cached prompts.
    tokens memory;
    /// Weights that it is known to have; they only grow within one incarnation.
    std::map<model_name, weight_version> versions;
    /// A leaving engine finishes what it has and gets nothing new.
    bool is_leaving = false;
    /// It loads weights: what has not started there is refused meanwhile.
    bool is_loading = false;
};

} // namespace kingcupcart::batch
