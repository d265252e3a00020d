#pragma once

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

/// What keepers agree on, in order. One family of small structs.
namespace kingcupcart::replicated {

/// Wall-clock seconds since 1970, taken by the keeper that proposes a command.
using wall_seconds = std::chrono::seconds;

/// An operator's change of the configuration.
struct accept_configuration {
    /// The same for each resend of one order.
    std::string order_id;
    /// The version that the change builds on.
    configuration_version base;
    std::string text;
    wall_seconds at{};
};

/// A key that a caller made up gets its home.
struct claim_key {
    idempotency_key key;
    instance_id home;
    incarnation_id incarnation;
    wall_seconds at{};
};

using command = std::variant<accept_configuration, claim_key>;

/// Which keeper put a command forward, so that it can tell who asked when the command is applied.
struct command_origin {
    instance_id keeper;
    incarnation_id incarnation;
    std::uint64_t number = 0;
};

/// What stands in the log.
struct logged_command {
    command_origin origin;
    command content;
};

} // namespace kingcupcart::replicated
