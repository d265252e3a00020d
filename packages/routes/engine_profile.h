#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <vector>

namespace kingcupcart::routes {

/// Properties shared by all targets of a model service.
struct engine_profile {
    /// Requests that one target runs concurrently.
    int slots = 1;
    /// Capacity for running requests and cached prompts.
    tokens memory;
    /// Tokens in one event of a stream.
    tokens tokens_per_event{1};
    /// Models that the targets may serve.
    std::vector<model_name> models;
};

} // namespace kingcupcart::routes
