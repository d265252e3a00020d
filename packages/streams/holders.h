#pragma once

#include "base/ids.h"
#include "streams/stream_id.h"

#include <vector>

namespace kingcupcart::streams {

struct keeper_place {
    instance_id keeper;
    failure_domain_id domain;
};

/// The keepers that a lookup asks first, and all others.
struct lookup_order {
    std::vector<instance_id> likely;
    std::vector<instance_id> others;
};

/// The keepers that hold a record of a gateway in `own_domain`, by rendezvous hashing: the first
/// one of that domain, if it has a keeper, so that a domain that is cut off serves its own callers,
/// and the first one of all others.
[[nodiscard]] std::vector<instance_id> choose_holders(const stream_id& stream,
                                                      const failure_domain_id& own_domain,
                                                      const std::vector<keeper_place>& keepers);

/// The order in which a gateway in `own_domain` asks for a record that a gateway of any domain has
/// made. The first keeper of all is among the holders that any domain chooses.
[[nodiscard]] lookup_order order_for_lookup(const stream_id& stream,
                                            const failure_domain_id& own_domain,
                                            const std::vector<keeper_place>& keepers);

} // namespace kingcupcart::streams
