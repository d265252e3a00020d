#pragma once

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

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
    instance_id owner;
    incarnation_id incarnation;
    wall_seconds at{};
};

/// A complete table of routes and services under its maker's version; the highest one is in force.
struct accept_routes {
    configuration_version version;
    /// As it came, so that it is given back as it came.
    std::string document;
};

/// A trainer's newest weights.
struct name_weights {
    model_name model;
    weight_version version;
};

/// A store with the disk that remembers its votes.
struct store_member {
    instance_id store;
    std::uint64_t disk = 0;

    friend bool operator==(const store_member&, const store_member&) = default;
};

/// The stores that begin the group of stores; the first such command counts.
struct bootstrap_stores {
    std::vector<store_member> initial_members;
};

/// A store is to be emptied.
struct retire_store {
    instance_id store;
};

/// Changes nothing: whoever proposes it sees all that was agreed before.
struct confirm_state {};

using command = std::variant<accept_configuration, claim_key, accept_routes, name_weights,
                             bootstrap_stores, retire_store, confirm_state>;

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
