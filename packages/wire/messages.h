#pragma once

#include "base/endpoint.h"
#include "base/header_field.h"
#include "base/ids.h"
#include "base/location.h"
#include "batch/item_result.h"
#include "batch/job.h"
#include "batch/job_item.h"
#include "batch/run_id.h"
#include "membership/model_weights.h"
#include "membership/target_load.h"
#include "membership/target_record.h"
#include "permits/permit_messages.h"
#include "quarantine/crash_messages.h"
#include "quorum/member.h"
#include "quorum/messages.h"
#include "replicated/commands.h"
#include "streams/stream_id.h"
#include "streams/stream_record.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The messages that instances exchange over their links. One family of small structs.
namespace kingcupcart::wire {

enum class instance_role { entry, keeper, gateway, store };

/// The address at which an instance accepts links.
struct instance_address {
    instance_id id;
    endpoint address;

    friend bool operator==(const instance_address&, const instance_address&) = default;
};

/// The first message that each side sends on a new link.
struct hello {
    instance_id instance;
    incarnation_id incarnation;
    location place;
    instance_role role = instance_role::entry;
    /// The address at which the sender accepts links.
    endpoint address;
    /// Other entry instances of the sender's failure domain that the sender is connected to.
    std::vector<instance_address> known;
    /// The configuration version in force at the sender.
    configuration_version in_force;
    /// The newest revision of the protocol that the sender understands; 0 for builds before
    /// revisions were introduced, and for entry instances. Messages of a later revision are not
    /// sent to it.
    std::uint16_t revision = 0;
};

/// The first revision that knows the accounts of callers.
inline constexpr std::uint16_t accounts_revision = 1;
/// The revision of the protocol between the instances of a fleet.
inline constexpr std::uint16_t protocol_revision = 1;

/// A target was added, changed or removed.
struct target_update {
    membership::target_record record;
};

/// The load of each target that still sends heartbeats to the sender. Extends the targets' leases
/// at the receiver, and shows that the sender itself is alive.
struct target_heartbeats {
    std::vector<membership::target_load> targets;
};

/// A committed configuration; `text` is in INI format.
struct configuration_update {
    configuration_version version;
    std::string text;
};

/// The configuration version that an instance currently runs with.
struct configuration_in_force {
    instance_id instance;
    configuration_version version;
};

/// Forwards a client's request to the instance that owns its idempotency key.
struct forward_call_request {
    /// Assigned by the sender; the response repeats it. The same holds for `call` below.
    std::uint64_t call = 0;
    idempotency_key key;
    /// The receiver's incarnation that holds the key. A later one has lost it and refuses the call.
    incarnation_id incarnation;
    caller_id caller;
    work_class_name work_class;
    backend_name service;
    std::string method;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
};

/// The response to a forwarded request, or the reason why there is none.
struct forward_call_response {
    std::uint64_t call = 0;
    /// 0 if there is no response.
    int status = 0;
    std::string outcome;
    std::string reason;
    std::vector<header_field> headers;
    std::string body;
};

/// Asks a keeper to register `owner` as the owner of a key that a caller chose.
struct claim_request {
    /// Assigned by the sender; the response repeats it.
    std::uint64_t claim = 0;
    idempotency_key key;
    instance_id owner;
    incarnation_id incarnation;
};

/// The owner of the key: the claiming instance if its claim was the first, else an earlier one.
struct claim_response {
    std::uint64_t claim = 0;
    /// False if no majority of the keepers confirmed an owner; the other fields are empty then.
    bool is_decided = false;
    instance_id owner;
    incarnation_id incarnation;
};

/// The address of an entry instance of any failure domain.
struct instance_update {
    instance_address instance;
};

/// A message of the consensus protocol between the members of a group of keepers or stores.
struct consensus_message {
    quorum::message content;
};

/// A command, encoded for the log, that a member of a group forwards to its leader.
struct forward_command {
    std::string command;
};

/// Sent on a link that has been idle for a keepalive interval. `peer_link` handles it itself.
struct keepalive {};

/// A store and the address at which it accepts links.
struct store_address {
    instance_id id;
    endpoint address;
    bool is_leaving = false;

    friend bool operator==(const store_address&, const store_address&) = default;
};

/// The keepers and stores of the deployment, as a keeper sees them.
struct fleet_update {
    std::vector<instance_address> keepers;
    std::vector<store_address> stores;
    /// The number of keepers that make a majority.
    std::uint64_t keeper_majority = 1;
};

/// The committed routes and services, unparsed; version 0 if none have been committed yet.
struct routes_update {
    configuration_version version;
    std::string document;
};

/// The newest weight version of each model that trainers have published.
struct weights_update {
    std::vector<membership::model_weights> weights;
};

/// Sent by a store to each keeper that it connects to.
struct store_registration {
    /// Identifier of the store's disk.
    std::uint64_t disk = 0;
    /// The store is in the first start of the deployment, its disk was empty and it is in no group.
    bool may_bootstrap = false;
};

/// The members with which the group of stores is bootstrapped.
struct initial_members_update {
    std::vector<quorum::member> initial_members;
};

/// The state of the group of stores, as its leader reports it to the keepers.
struct store_report {
    bool is_leader = false;
    std::uint64_t term = 0;
    /// The committed voters; empty while a membership change is in progress.
    std::vector<instance_id> voters;
    std::uint64_t standbys = 0;
    /// The lowest weight version of each model that satisfies every open job.
    std::vector<membership::model_weights> required_weights;
};

/// What a store knows of the leader of its group.
struct leader_update {
    /// The address at which the leader accepts links; empty if the store knows no leader.
    endpoint leader;
    /// The term of the store; unknown if an earlier version sent the message.
    std::optional<quorum::term_number> term;

    friend bool operator==(const leader_update&, const leader_update&) = default;
};

struct submit_job_request {
    std::uint64_t call = 0;
    batch::job job;
};

struct read_results_request {
    std::uint64_t call = 0;
    job_id job;
    /// The number of results that the caller has read already; the response continues after them.
    std::uint64_t after = 0;
    /// How long the receiver may wait for a first result before it responds with none.
    std::chrono::milliseconds max_wait{};
    /// The caller's account; empty if the configuration has no accounts. Not sent to receivers of a
    /// revision before 1.
    account_name account;
};

struct item_body_request {
    std::uint64_t call = 0;
    job_id job;
    item_id item;
    /// As in `read_results_request`.
    account_name account;
};

struct end_job_request {
    std::uint64_t call = 0;
    job_id job;
    /// As in `read_results_request`.
    account_name account;
};

enum class batch_status {
    done,
    /// There is no such job, or no such item that is still open.
    missing,
    /// The sender is not the leader, or cannot confirm that it is; the call changed nothing.
    not_leader,
    /// The call may have taken effect.
    outcome_unknown
};

/// The response to a call about batch jobs.
struct batch_response {
    std::uint64_t call = 0;
    batch_status status = batch_status::done;
    /// The number of items of the job.
    std::uint64_t total = 0;
    std::vector<batch::item_result> results;
    std::string body;
};

/// Sent by the leading store to another store, which carries out a run of a batch job's item for
/// it.
struct run_item_request {
    /// Assigned by the leader.
    batch::run_id run;
    job_id job;
    /// Host under which the job was submitted.
    std::string host;
    target_id engine;
    /// The run resumes after the event with this number; 0 for a run from the start.
    std::uint64_t resume_after = 0;
    weight_version oldest_version;
    /// Whether the engine has to state the weight version that generated the text.
    bool needs_versions = false;
    /// The last field, since a scorer is omitted if the item has none.
    batch::job_item item;
};

struct cancel_item_run {
    batch::run_id run;
};

enum class item_run_status { running, completed, declined, failed, impossible, broken, stale };

/// Progress or end of a run.
struct item_run_update {
    batch::run_id run;
    item_run_status status = item_run_status::running;
    /// Number of the last event of `text`.
    std::uint64_t last_event = 0;
    /// What the run's events since the last update append to the item's text.
    std::string text;
    /// Versions of the weights that generated the run's events so far, in ascending order.
    std::vector<weight_version> versions;
};

struct item_run_updates {
    std::vector<item_run_update> updates;
};

/// A target said in one of its responses that it is leaving.
struct target_leaving {
    target_id target;
    incarnation_id incarnation;
};

/// A target has stated in a response the rate of requests that it takes from all instances
/// together.
struct limit_report {
    target_id target;
    incarnation_id incarnation;
    /// In millionths of a request a second; zero if the target has no limit.
    std::uint64_t millionths_per_second = 0;
    /// Time since the request was sent whose response stated the limit.
    duration age{};
};

/// Sent by an instance to the keepers, the leader of which issues permits.
struct permit_demands {
    std::vector<permits::permit_demand> demands;
};

struct permit_grants {
    std::vector<permits::permit_grant> grants;
};

/// Sent by a gateway to the keepers that hold the records.
struct stream_record_updates {
    std::vector<streams::stream_record> records;
};

/// Asks a keeper for the record of a stream that a caller takes up.
struct stream_lookup_request {
    /// Assigned by the sender; the response repeats it.
    std::uint64_t lookup = 0;
    streams::stream_id stream;
};

struct stream_lookup_response {
    std::uint64_t lookup = 0;
    /// Empty if the sender does not hold the record.
    std::optional<streams::stream_record> record;
};

/// Asks a keeper for gateways that may forward calls to the backend for the sender.
struct relay_lookup_request {
    /// Assigned by the sender; the response repeats it.
    std::uint64_t lookup = 0;
    backend_name backend;
};

/// A gateway that may forward calls for others.
struct relay_candidate {
    instance_id id;
    /// The address at which it accepts links.
    endpoint address;
    location place;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

struct relay_lookup_response {
    std::uint64_t lookup = 0;
    std::vector<relay_candidate> candidates;
};

/// The backends that the sending gateway is cut off from: those of which it can open a connection
/// to no target.
struct reach_report {
    std::vector<backend_name> cut_off;
};

/// A caller's request that the sender can't forward itself, since it is cut off from the targets.
/// The receiver forwards it, and never passes it on to another instance.
struct relayed_call_request {
    /// Assigned by the sender; all messages about the call repeat it.
    std::uint64_t call = 0;
    /// The caller's identifier of its attempt.
    std::string name;
    std::string host;
    std::string method;
    /// Path and query string.
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    /// The remaining time of the caller or of the route, whichever is shorter.
    std::chrono::milliseconds max_wait{};
    /// Number of the last event of the stream that the caller has received.
    std::uint64_t resume_after = 0;
    /// The stream that the call continues; empty for a new one.
    streams::stream_id resumes;
    /// The service that the sender has chosen.
    backend_name backend;
    /// The version that began the stream; empty if any may serve.
    std::optional<software_version> software;
    /// Targets that the receiver may send the call to; 0 for as many as the route allows.
    std::uint32_t max_attempts = 0;
    /// The caller's account, which `headers` name too; empty if there is none. Not sent to
    /// receivers of a revision before 1.
    account_name account;
};

/// The head of the target's response, unchanged.
struct relayed_response_head {
    std::uint64_t call = 0;
    int status = 0;
    std::string content_type;
    std::vector<header_field> headers;
    bool is_stream = false;
};

/// A part of the response's body; of a stream, complete events.
struct relayed_response_data {
    std::uint64_t call = 0;
    std::string data;
};

struct relayed_response_end {
    std::uint64_t call = 0;
};

/// The call has no response, or its response is incomplete.
struct relayed_call_failure {
    std::uint64_t call = 0;
    /// False if the call did not run and never will.
    bool may_have_run = true;
    std::string reason;
    /// Delay after which a retry may succeed; zero if unknown.
    duration retry_after{};
    /// The reason lies in the call; the sender takes others.
    bool concerns_call = false;
};

/// The caller has left, or its time is over.
struct relayed_call_cancel {
    std::uint64_t call = 0;
};

/// The sender's caller took so many more bytes of the response; 0 acknowledges its end or failure.
struct relayed_data_taken {
    std::uint64_t call = 0;
    std::uint64_t bytes = 0;
};

/// The sending relay is stopping: the receiver sends it no further calls, and closes the link when
/// its calls have ended.
struct relay_stopping {};

/// The counts of a window of the sending gateway, cumulative since it started.
struct window_usage {
    std::uint64_t window = 0;
    std::vector<replicated::account_usage> counts;

    friend bool operator==(const window_usage&, const window_usage&) = default;
};

/// Sent by a gateway each second, with the windows whose counts have changed, to the keepers of
/// revision 1 or later.
struct usage_update {
    /// The sender's wall-clock time in milliseconds, until which the counts are complete.
    std::uint64_t as_of = 0;
    std::vector<window_usage> windows;
};

/// What the training steps of one model need of the engines of one service.
struct model_demand {
    backend_name service;
    model_name model;
    /// Output that recent steps asked for per second.
    std::uint64_t tokens_per_second = 0;
    /// Items of the largest recent step.
    std::uint64_t largest_step_items = 0;
    /// Items that wait for a slot now.
    std::uint64_t waiting_items = 0;
    /// How much later than due the model's latest step is expected to complete; zero if in time.
    std::chrono::milliseconds expected_lateness{};
    std::uint64_t steps_in_flight = 0;

    friend bool operator==(const model_demand&, const model_demand&) = default;
};

/// Sent by the leading store to the keepers of protocol revision 1 and later.
struct model_demand_report {
    /// The sender's term as leader of the stores; reports of a lower term are outdated.
    std::uint64_t term = 0;
    std::vector<model_demand> models;
};

/// The order of the alternatives is that of their numbers on the wire.
using message = std::variant<
    hello, target_update, target_heartbeats, configuration_update, configuration_in_force,
    forward_call_request, forward_call_response, claim_request, claim_response, instance_update,
    consensus_message, forward_command, keepalive, fleet_update, routes_update, weights_update,
    store_registration, initial_members_update, store_report, leader_update, submit_job_request,
    read_results_request, item_body_request, end_job_request, batch_response, run_item_request,
    cancel_item_run, item_run_updates, target_leaving, limit_report, permit_demands, permit_grants,
    quarantine::crash_report, quarantine::completion_report, quarantine::trial_demand,
    quarantine::trial_end, quarantine::copy_report, quarantine::suspect_update,
    quarantine::trial_decision, stream_record_updates, stream_lookup_request,
    stream_lookup_response, relay_lookup_request, relay_lookup_response, reach_report,
    relayed_call_request, relayed_response_head, relayed_response_data, relayed_response_end,
    relayed_call_failure, relayed_call_cancel, relayed_data_taken, relay_stopping, usage_update,
    model_demand_report>;

} // namespace kingcupcart::wire
