#pragma once

#include "base/ids.h"

namespace kingcupcart {

/// Where an instance or a target runs.
struct location {
    failure_domain_id domain;
    region_id region;

    friend bool operator==(const location&, const location&) = default;
};

} // namespace kingcupcart
