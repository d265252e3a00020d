#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>

namespace kingcupcart::rollout {

/// An engine and the newest version of each model's weights that it is known to have loaded.
struct engine_weights {
    target_id engine;
    backend_name service;
    std::map<model_name, weight_version> versions;
    /// A leaving engine loads no new weights.
    bool is_leaving = false;
};

} // namespace kingcupcart::rollout
