#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "routes/caller_limits.h"
#include "routes/route.h"
#include "routes/service.h"

#include <string_view>
#include <vector>

namespace kingcupcart::routes {

/// A complete configuration of routes and services under one version.
struct route_table {
    configuration_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;

    /// Fails with `invalid_input`, naming the route, where a service is unknown, two routes share
    /// host and prefix, all weights of a route are 0, or a timeout is 0.
    [[nodiscard]] outcome<void> check() const;

    /// The route of that host with the longest prefix that begins the path; null where none does.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(const backend_name& name) const;
};

} // namespace kingcupcart::routes
