#pragma once

#include "base/ids.h"
#include "scaling/replica_kind.h"

#include <compare>

namespace kingcupcart::scaling {

/// The replicas of one service and kind in one failure domain.
struct replica_pool {
    backend_name service;
    failure_domain_id domain;
    replica_kind kind = replica_kind::normal;

    friend auto operator<=>(const replica_pool&, const replica_pool&) = default;
};

} // namespace kingcupcart::scaling
