#pragma once

#include "accounts/revocation_limits.h"
#include "base/endpoint.h"
#include "settings/fleet_settings.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kingcupcart::settings {

/// Settings of the gateway role.
struct gateway_settings {
    fleet_settings fleet;
    /// Listening address for callers.
    endpoint callers;
    /// Listening address for a load balancer's readiness checks.
    endpoint ready;
    /// Listening address for links from gateways that reach no target; empty if this gateway
    /// forwards no calls for others.
    std::optional<endpoint> address;
    /// Calls of other gateways that are forwarded at a time.
    std::size_t relayed_calls = 256;
    /// Largest request body accepted from a caller, in bytes.
    std::int64_t body_limit = std::int64_t{32} * 1024 * 1024;
    /// Largest response of a target that is buffered, in bytes.
    std::int64_t response_limit = std::int64_t{16} * 1024 * 1024;
    accounts::revocation_limits revocation;
};

} // namespace kingcupcart::settings
