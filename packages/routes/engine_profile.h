#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <vector>

namespace kingcupcart::routes {

/// What a model service's targets have in common.
struct engine_profile {
    /// Requests that one target runs side by side.
    int slots = 1;
    /// Room for running requests and cached prompts.
    tokens memory;
    /// Tokens that one event of a stream carries.
    tokens tokens_per_event{1};
    std::vector<model_name> models;
};

} // namespace kingcupcart::routes
