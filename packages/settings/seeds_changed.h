#pragma once

#include "base/endpoint.h"

#include <vector>

namespace kingcupcart::settings {

/// The seeds in the settings have changed; `links` holds the link addresses of the new ones.
struct seeds_changed {
    std::vector<endpoint> links;
};

} // namespace kingcupcart::settings
