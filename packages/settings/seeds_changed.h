#pragma once

#include "base/endpoint.h"

#include <vector>

namespace kingcupcart::settings {

/// The settings name other keepers to find the rest by: their link addresses.
struct seeds_changed {
    std::vector<endpoint> links;
};

} // namespace kingcupcart::settings
