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
    instance_id home;
    incarnation_id incarnation;
};

using result = std::variant<configuration_result, claim_result>;

} // namespace kingcupcart::replicated
