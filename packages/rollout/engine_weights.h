#pragma once

#include "base/ids.h"

#include <cstdint>
#include <map>

namespace kingcupcart::rollout {

/// An engine with the weights that it is known to have.
struct engine_weights {
    target_id engine;
    backend_name service;
    std::map<model_name, weight_version> versions;
    bool is_leaving = false;
};

} // namespace kingcupcart::rollout
