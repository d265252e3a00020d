#pragma once

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// The commands of the keepers' replicated log. One family of small structs.
namespace kingcupcart::replicated {

/// Wall-clock time in seconds since 1970, read by the keeper that proposes a command.
using wall_seconds = std::chrono::seconds;

/// An operator's order to replace the configuration.
struct accept_configuration {
    /// Identifies the order; a resend of the order carries the same identifier.
    std::string order_id;
    /// The version that the order replaces; the order is rejected if another version is accepted.
    configuration_version base;
    std::string text;
    wall_seconds at{};
};

/// Assigns an owner to an idempotency key that a caller chose.
struct claim_key {
    idempotency_key key;
    instance_id owner;
    incarnation_id incarnation;
    wall_seconds at{};
};

/// A complete table of routes and services, under the version that its author gave it. The table
/// with the highest version is in force.
struct accept_routes {
    configuration_version version;
    /// Stored unchanged, since it is returned unchanged.
    std::string document;
};

/// Announces a trainer's newest weights of a model.
struct publish_weights {
    model_name model;
    weight_version version;
};

/// A store, together with the disk that stores its votes.
struct store_member {
    instance_id store;
    std::uint64_t disk = 0;

    friend bool operator==(const store_member&, const store_member&) = default;
};

/// Sets the initial members of the group of stores; only the first such command takes effect.
struct bootstrap_stores {
    std::vector<store_member> initial_members;
};

/// Marks a store as leaving: other stores take over from it, and it is emptied.
struct retire_store {
    instance_id store;
};

/// The number of requests of a client account that began to run in a window.
struct account_usage {
    account_name account;
    std::uint64_t count = 0;

    friend bool operator==(const account_usage&, const account_usage&) = default;
};

/// Sets the counts of a window, which are reported to the platform unchanged from then on. Has no
/// effect on a window that is committed already, or that is older than one.
struct commit_usage {
    std::uint64_t window = 0;
    std::vector<account_usage> counts;
    /// The platform has accepted the reports of all windows up to this one.
    std::uint64_t reported_through = 0;
};

/// Changes nothing. Once it is applied, the proposer has applied every command that was committed
/// before it.
struct read_barrier {};

using command = std::variant<accept_configuration, claim_key, accept_routes, publish_weights,
                             bootstrap_stores, retire_store, read_barrier, commit_usage>;

/// The keeper that proposed a command, and the number under which it reports the result to the
/// requester when the command is applied.
struct command_origin {
    instance_id keeper;
    incarnation_id incarnation;
    std::uint64_t number = 0;
};

/// A command as it is stored in the log.
struct logged_command {
    command_origin origin;
    command content;
};

} // namespace kingcupcart::replicated
