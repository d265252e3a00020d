#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <map>

namespace kingcupcart::batch {

/// Properties of an engine that the scheduler uses.
struct engine {
    target_id id;
    backend_name service;
    /// Empty if the engine states none.
    software_version software;
    /// Requests that the engine runs concurrently.
    int slots = 1;
    /// Capacity for running requests and cached prompts; 0 if unknown.
    tokens memory;
    /// Newest version of each model's weights that the engine is known to have loaded. Versions
    /// never decrease within one incarnation.
    std::map<model_name, weight_version> versions;
    /// A leaving engine finishes its runs and receives no new ones.
    bool is_leaving = false;
    /// The engine is loading weights and rejects new runs until the load ends.
    bool is_loading = false;
};

} // namespace kingcupcart::batch
