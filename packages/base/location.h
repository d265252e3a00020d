#pragma once

#include "base/ids.h"

namespace kingcupcart {

/// The failure domain and region in which an instance or target runs.
struct location {
    failure_domain_id domain;
    region_id region;

    friend bool operator==(const location&, const location&) = default;
};

} // namespace kingcupcart
