#pragma once

#include "base/endpoint.h"
#include "base/header_field.h"
#include "base/ids.h"
#include "base/location.h"
#include "membership/target_load.h"
#include "membership/target_record.h"
#include "quorum/messages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What instances say to each other. One family of small structs.
namespace kingcupcart::wire {

enum class instance_role { entry, keeper };

/// An instance as others reach it.
struct instance_address {
    instance_id id;
    endpoint address;

    friend bool operator==(const instance_address&, const instance_address&) = default;
};

/// First message on each link, in both directions.
struct hello {
    instance_id instance;
    incarnation_id incarnation;
    location place;
    instance_role role = instance_role::entry;
    /// Where the sender accepts links.
    endpoint address;
    /// Entry instances of its failure domain that the sender knows.
    std::vector<instance_address> known;
    /// Highest configuration in force at the sender.
    configuration_version in_force;
};

/// A target came, changed or went.
struct target_news {
    membership::target_record record;
};

/// The sender still hears from these targets; also says that the sender lives.
struct targets_vouched {
    std::vector<membership::target_load> targets;
};

/// An accepted configuration; `text` is INI.
struct configuration_news {
    configuration_version version;
    std::string text;
};

/// The sender runs under this configuration.
struct configuration_in_force {
    instance_id instance;
    configuration_version version;
};

/// A request whose idempotency key has its home at the receiver.
struct call_forwarded {
    std::uint64_t call = 0;
    idempotency_key key;
    /// The incarnation of the receiver that knows the key.
    incarnation_id incarnation;
    caller_id caller;
    work_class_name work_class;
    backend_name service;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
};

/// The answer to `call_forwarded`, or the reason why there is none.
struct call_answered {
    std::uint64_t call = 0;
    int status = 0;
    std::string outcome;
    std::string reason;
    std::vector<header_field> headers;
    std::string body;
};

/// Asks keepers which instance is home to a key that a caller made up.
struct claim_asked {
    std::uint64_t claim = 0;
    idempotency_key key;
    instance_id home;
    incarnation_id incarnation;
};

/// The home of the key; the asking instance itself where the claim was granted.
struct claim_told {
    std::uint64_t claim = 0;
    /// False where no majority could say.
    bool is_decided = false;
    instance_id home;
    incarnation_id incarnation;
};

/// Where an entry instance of another failure domain can be reached.
struct instance_news {
    instance_address instance;
};

/// What one keeper says to another about the log.
struct quorum_said {
    quorum::message content;
};

/// A command that a keeper passes on to the one that leads.
struct command_forwarded {
    std::string command;
};

using message = std::variant<hello, target_news, targets_vouched, configuration_news,
                             configuration_in_force, call_forwarded, call_answered, claim_asked,
                             claim_told, instance_news, quorum_said, command_forwarded>;

} // namespace kingcupcart::wire
