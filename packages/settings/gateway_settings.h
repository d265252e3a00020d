#pragma once

#include "base/endpoint.h"
#include "settings/fleet_settings.h"

#include <cstdint>

namespace kingcupcart::settings {

/// Settings of the gateway role.
struct gateway_settings {
    fleet_settings fleet;
    /// Where callers connect.
    endpoint callers;
    /// Where a balancer asks whether to send callers.
    endpoint ready;
    /// Largest request body taken from a caller, in bytes.
    std::int64_t body_limit = std::int64_t{32} * 1024 * 1024;
};

} // namespace kingcupcart::settings
