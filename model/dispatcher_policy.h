#pragma once

#include "requests/dispatcher.h"

#include <utility>

namespace kingcupcart::model {

/// The dispatcher of `requests`, with its default limits.
class dispatcher_policy : public requests::dispatcher {
public:
    dispatcher_policy(location local_location, std::uint64_t seed)
        : dispatcher(std::move(local_location), requests::dispatcher_limits{}, seed) {}
};

} // namespace kingcupcart::model
