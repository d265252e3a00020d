#pragma once

#include "base/ids.h"

#include <variant>

/// The results of commands. One family of small structs.
namespace kingcupcart::replicated {

struct configuration_result {
    /// False if the accepted version was not the version that the order replaces.
    bool is_accepted = false;
    /// The version that the order created, or the accepted version if the order was rejected.
    configuration_version version;
};

struct claim_result {
    instance_id owner;
    incarnation_id incarnation;
};

/// The highest accepted version of the routes.
struct routes_result {
    configuration_version version;
};

/// The command has taken effect, now or earlier.
struct done {};

using result = std::variant<configuration_result, claim_result, routes_result, done>;

} // namespace kingcupcart::replicated
