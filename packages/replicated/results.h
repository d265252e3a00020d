#pragma once

#include "base/ids.h"

#include <variant>

/// What became of a command. One family of small structs.
namespace kingcupcart::replicated {

struct configuration_result {
    /// False where the order built on another version than the accepted one.
    bool is_accepted = false;
    /// The version that the order made, or the accepted version that it missed.
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

/// It took effect, now or before.
struct done {};

using result = std::variant<configuration_result, claim_result, routes_result, done>;

} // namespace kingcupcart::replicated
