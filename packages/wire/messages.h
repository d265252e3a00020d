#pragma once

#include "base/endpoint.h"
#include "base/header_field.h"
#include "base/ids.h"
#include "base/location.h"
#include "batch/item_result.h"
#include "batch/job.h"
#include "membership/model_weights.h"
#include "membership/target_load.h"
#include "membership/target_record.h"
#include "quorum/messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What instances say to each other. One family of small structs.
namespace kingcupcart::wire {

enum class instance_role { entry, keeper, gateway, store };

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
struct target_update {
    membership::target_record record;
};

/// The sender still hears from these targets; also says that the sender lives.
struct target_heartbeats {
    std::vector<membership::target_load> targets;
};

/// An accepted configuration; `text` is INI.
struct configuration_update {
    configuration_version version;
    std::string text;
};

/// The sender runs under this configuration.
struct configuration_in_force {
    instance_id instance;
    configuration_version version;
};

/// A request whose idempotency key has its home at the receiver.
struct forward_call_request {
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

/// The answer to `forward_call_request`, or the reason why there is none.
struct forward_call_response {
    std::uint64_t call = 0;
    int status = 0;
    std::string outcome;
    std::string reason;
    std::vector<header_field> headers;
    std::string body;
};

/// Asks keepers which instance is home to a key that a caller made up.
struct claim_request {
    std::uint64_t claim = 0;
    idempotency_key key;
    instance_id owner;
    incarnation_id incarnation;
};

/// The home of the key; the asking instance itself where the claim was granted.
struct claim_response {
    std::uint64_t claim = 0;
    /// False where no majority could say.
    bool is_decided = false;
    instance_id owner;
    incarnation_id incarnation;
};

/// Where an entry instance of another failure domain can be reached.
struct instance_update {
    instance_address instance;
};

/// What one keeper says to another about the log.
struct consensus_message {
    quorum::message content;
};

/// A command that a keeper passes on to the one that leads.
struct forward_command {
    std::string command;
};

/// Sent where nothing else was for a while; a link that is silent for long is cut.
struct keepalive {};

/// A store and where it accepts links.
struct store_address {
    instance_id name;
    endpoint address;
    bool is_leaving = false;

    friend bool operator==(const store_address&, const store_address&) = default;
};

/// The keepers and stores that a keeper knows.
struct fleet_update {
    std::vector<instance_address> keepers;
    std::vector<store_address> stores;
    /// Votes among the keepers that make a majority.
    std::uint64_t keepers_needed = 1;
};

/// Accepted routes and services, as they came; version 0 where none were accepted yet.
struct routes_update {
    configuration_version version;
    std::string document;
};

/// The newest weights that trainers named.
struct weights_update {
    std::vector<membership::model_weights> weights;
};

/// A store tells keepers of its disk.
struct store_registration {
    std::uint64_t disk = 0;
    /// Its folder was empty at the first start of the whole deployment.
    bool may_bootstrap = false;
};

/// The members that begin the group of stores.
struct initial_members_update {
    std::vector<quorum::member> initial_members;
};

/// The group of stores as one of its members sees it.
struct store_report {
    bool leads = false;
    std::uint64_t term = 0;
    /// Agreed voters; empty while a change is under way.
    std::vector<instance_id> voters;
    std::uint64_t standbys = 0;
    /// Oldest weights of each model that open jobs take.
    std::vector<membership::model_weights> oldest_needed;
};

/// Where the leader of the stores accepts links; an empty address while there is none.
struct leader_update {
    endpoint leader;
};

struct submit_job_request {
    std::uint64_t call = 0;
    batch::job job;
};

struct read_results_request {
    std::uint64_t call = 0;
    job_id job;
    std::uint64_t after = 0;
    /// How long to wait for a first result.
    std::chrono::milliseconds max_wait{};
};

struct item_body_request {
    std::uint64_t call = 0;
    job_id job;
    item_id item;
};

struct end_job_request {
    std::uint64_t call = 0;
    job_id job;
};

enum class batch_status {
    done,
    /// No such job, or no such item that is still open.
    missing,
    /// The sender does not lead, or can't be sure; nothing was changed by this call.
    unsure,
    /// It may have taken effect.
    unknown
};

/// The answer to a call about batch jobs.
struct batch_response {
    std::uint64_t call = 0;
    batch_status status = batch_status::done;
    /// Items of the job.
    std::uint64_t total = 0;
    std::vector<batch::item_result> results;
    std::string body;
};

using message =
    std::variant<hello, target_update, target_heartbeats, configuration_update,
                 configuration_in_force, forward_call_request, forward_call_response, claim_request,
                 claim_response, instance_update, consensus_message, forward_command, keepalive,
                 fleet_update, routes_update, weights_update, store_registration,
                 initial_members_update, store_report, leader_update, submit_job_request,
                 read_results_request, item_body_request, end_job_request, batch_response>;

} // namespace kingcupcart::wire
