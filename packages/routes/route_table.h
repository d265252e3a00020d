#pragma once

#include "accounts/account_table.h"
#include "accounts/authorization.h"
#include "accounts/credentials.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "routes/caller_limits.h"
#include "routes/route.h"
#include "routes/service.h"

#include <string_view>
#include <vector>

namespace kingcupcart::routes {

/// A complete, versioned configuration of routes and services.
struct route_table {
    configuration_version version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    accounts::account_table accounts;

    /// Fails with `invalid_input` and the name of the route if a service is unknown, two routes
    /// have the same host and prefix, all weights of a route are 0, or a timeout is not above 0.
    [[nodiscard]] outcome<void> check() const;

    /// The route of the host with the longest matching path prefix; null if no route matches.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    /// Whether a request on the route is permitted with these credentials. A submission of a batch
    /// job always needs a key, so that the job belongs to an account.
    [[nodiscard]] accounts::authorization authorize(const route& requested,
                                                    const accounts::credentials& stated) const;
    /// The priority of an account's requests on a route. The name is empty without an account.
    [[nodiscard]] int priority_of(const route& requested, const account_name& caller) const;
    /// Null if there is no such service.
    [[nodiscard]] const service* find_service(const backend_name& name) const;
};

} // namespace kingcupcart::routes
