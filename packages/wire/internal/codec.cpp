#include "wire/codec.h"

#include "wire/internal/depth_limited_parser.h"
#include "wire/internal/field_reader.h"
#include "wire/internal/input_archive.h"
#include "wire/internal/output_archive.h"
#include "wire/internal/quorum_fields.h"
#include "wire/internal/serialization.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;

/// A day; targets announce shorter times.
constexpr std::uint64_t max_leaves_ms = 86'400'000;

/// The number of each message type on the wire. The number of a removed type is never reused.
enum class message_number : std::uint8_t {
    hello = 1,
    target_update = 2,
    target_heartbeats = 3,
    configuration_update = 4,
    configuration_in_force = 5,
    forward_call_request = 6,
    forward_call_response = 7,
    claim_request = 8,
    claim_response = 9,
    instance_update = 10,
    consensus_message = 11,
    forward_command = 12,
    keepalive = 13,
    fleet_update = 14,
    routes_update = 15,
    weights_update = 16,
    store_registration = 17,
    initial_members_update = 18,
    store_report = 19,
    leader_update = 20,
    submit_job_request = 21,
    read_results_request = 22,
    item_body_request = 23,
    end_job_request = 24,
    batch_response = 25,
    run_item_request = 26,
    cancel_item_run = 27,
    item_run_updates = 28,
    target_leaving = 29,
    limit_report = 30,
    permit_demands = 31,
    permit_grants = 32,
    crash_report = 33,
    completion_report = 34,
    trial_demand = 35,
    trial_end = 36,
    copy_report = 37,
    suspect_update = 38,
    trial_decision = 39,
    stream_record_updates = 40,
    stream_lookup_request = 41,
    stream_lookup_response = 42,
    relay_lookup_request = 43,
    relay_lookup_response = 44,
    reach_report = 45,
    relayed_call_request = 46,
    relayed_response_head = 47,
    relayed_response_data = 48,
    relayed_response_end = 49,
    relayed_call_failure = 50,
    relayed_call_cancel = 51,
    relayed_data_taken = 52,
    relay_stopping = 53,
    usage_update = 54,
    model_demand_report = 55
};

json number(message_number value) {
    return static_cast<std::uint8_t>(value);
}

json binary(const std::string& content) {
    return write_bytes(content);
}

json write_headers(const std::vector<header_field>& headers) {
    json written = json::array();
    for (const header_field& header : headers) {
        written.push_back(json::array({binary(header.name), binary(header.value)}));
    }
    return written;
}

std::vector<header_field> read_headers(field_reader& fields) {
    std::vector<header_field> headers;
    fields.for_each([&](field_reader& element) {
        header_field header;
        header.name = element.binary();
        header.value = element.binary();
        headers.push_back(std::move(header));
    });
    return headers;
}

json write_weights(const std::vector<membership::model_weights>& weights) {
    json written = json::array();
    for (const membership::model_weights& model : weights) {
        written.push_back(json::array({binary(model.model.value()), model.version.value()}));
    }
    return written;
}

json write(const hello& outgoing) {
    json known = json::array();
    for (const instance_address& entry : outgoing.known) {
        known.push_back(json::array({entry.id.value(), entry.address.address, entry.address.port}));
    }
    if (outgoing.revision > 0) {
        // Earlier builds reject unknown fields, but gateways, stores and keepers of these builds
        // ignore the entries of `known`.
        known.push_back(json::array({"", "", outgoing.revision}));
    }
    return json::array({number(message_number::hello), outgoing.instance.value(),
                        outgoing.incarnation.value(), outgoing.place.domain.value(),
                        outgoing.place.region.value(), static_cast<std::uint8_t>(outgoing.role),
                        outgoing.address.address, outgoing.address.port, std::move(known),
                        outgoing.in_force.value()});
}

/// Whether the target is a spot one, and when it leaves, as an entry of its weights: earlier builds
/// reject unknown fields, but take this for weights of a model that no job names. Empty for targets
/// that announce neither.
json write_target_weights(const membership::target_record& record) {
    std::vector<membership::model_weights> weights = record.weights;
    std::erase_if(weights, [](const auto& held) { return held.model.value().empty(); });
    const std::uint64_t lifetime =
        2 * static_cast<std::uint64_t>(record.leaves_after.count()) + (record.spot ? 1 : 0);
    if (lifetime > 0) {
        weights.push_back({model_name(), weight_version(lifetime)});
    }
    return write_weights(weights);
}

json write(const target_update& outgoing) {
    const membership::target_record& record = outgoing.record;
    return json::array({number(message_number::target_update), record.id.value(),
                        static_cast<std::uint8_t>(record.kind), record.backend.value(),
                        record.address.address, record.address.port, record.place.domain.value(),
                        record.place.region.value(), static_cast<std::uint64_t>(record.slots),
                        record.incarnation.value(), record.sequence, record.revision,
                        record.leaving, record.gone, record.version.value(),
                        write_target_weights(record), record.loading, record.software.value()});
}

json write(const target_heartbeats& outgoing) {
    json targets = json::array();
    for (const membership::target_load& load : outgoing.targets) {
        targets.push_back(json::array({load.id.value(), static_cast<std::uint64_t>(load.running),
                                       static_cast<std::uint64_t>(load.waiting)}));
    }
    return json::array({number(message_number::target_heartbeats), std::move(targets)});
}

json write(const configuration_update& outgoing) {
    return json::array({number(message_number::configuration_update), outgoing.version.value(),
                        binary(outgoing.text)});
}

json write(const configuration_in_force& outgoing) {
    return json::array({number(message_number::configuration_in_force), outgoing.instance.value(),
                        outgoing.version.value()});
}

json write(const forward_call_request& outgoing) {
    return json::array({number(message_number::forward_call_request), outgoing.call,
                        binary(outgoing.key.value()), outgoing.incarnation.value(),
                        binary(outgoing.caller.value()), binary(outgoing.work_class.value()),
                        outgoing.service.value(), outgoing.method, binary(outgoing.path),
                        write_headers(outgoing.headers), binary(outgoing.body)});
}

json write(const forward_call_response& outgoing) {
    return json::array({number(message_number::forward_call_response), outgoing.call,
                        static_cast<std::uint64_t>(outgoing.status), outgoing.outcome,
                        outgoing.reason, write_headers(outgoing.headers), binary(outgoing.body)});
}

json write(const claim_request& outgoing) {
    return json::array({number(message_number::claim_request), outgoing.claim,
                        binary(outgoing.key.value()), outgoing.owner.value(),
                        outgoing.incarnation.value()});
}

json write(const claim_response& outgoing) {
    return json::array({number(message_number::claim_response), outgoing.claim, outgoing.is_decided,
                        outgoing.owner.value(), outgoing.incarnation.value()});
}

json write(const instance_update& outgoing) {
    return json::array({number(message_number::instance_update), outgoing.instance.id.value(),
                        outgoing.instance.address.address, outgoing.instance.address.port});
}

json write(const consensus_message& outgoing) {
    json fields = json::array({number(message_number::consensus_message)});
    write_quorum_message(fields, outgoing.content);
    return fields;
}

json write(const forward_command& outgoing) {
    return json::array({number(message_number::forward_command), binary(outgoing.command)});
}

/// The number of a message type that `serialize` handles.
template <typename Message>
constexpr message_number message_number_of = Message::has_no_number;
template <>
constexpr message_number message_number_of<keepalive> = message_number::keepalive;
template <>
constexpr message_number message_number_of<fleet_update> = message_number::fleet_update;
template <>
constexpr message_number message_number_of<routes_update> = message_number::routes_update;
template <>
constexpr message_number message_number_of<weights_update> = message_number::weights_update;
template <>
constexpr message_number message_number_of<store_registration> = message_number::store_registration;
template <>
constexpr message_number message_number_of<initial_members_update> =
    message_number::initial_members_update;
template <>
constexpr message_number message_number_of<store_report> = message_number::store_report;
template <>
constexpr message_number message_number_of<leader_update> = message_number::leader_update;
template <>
constexpr message_number message_number_of<submit_job_request> = message_number::submit_job_request;
template <>
constexpr message_number message_number_of<read_results_request> =
    message_number::read_results_request;
template <>
constexpr message_number message_number_of<item_body_request> = message_number::item_body_request;
template <>
constexpr message_number message_number_of<end_job_request> = message_number::end_job_request;
template <>
constexpr message_number message_number_of<batch_response> = message_number::batch_response;
template <>
constexpr message_number message_number_of<run_item_request> = message_number::run_item_request;
template <>
constexpr message_number message_number_of<cancel_item_run> = message_number::cancel_item_run;
template <>
constexpr message_number message_number_of<item_run_updates> = message_number::item_run_updates;
template <>
constexpr message_number message_number_of<target_leaving> = message_number::target_leaving;
template <>
constexpr message_number message_number_of<limit_report> = message_number::limit_report;
template <>
constexpr message_number message_number_of<permit_demands> = message_number::permit_demands;
template <>
constexpr message_number message_number_of<permit_grants> = message_number::permit_grants;
template <>
constexpr message_number message_number_of<quarantine::crash_report> = message_number::crash_report;
template <>
constexpr message_number message_number_of<quarantine::completion_report> =
    message_number::completion_report;
template <>
constexpr message_number message_number_of<quarantine::trial_demand> = message_number::trial_demand;
template <>
constexpr message_number message_number_of<quarantine::trial_end> = message_number::trial_end;
template <>
constexpr message_number message_number_of<quarantine::copy_report> = message_number::copy_report;
template <>
constexpr message_number message_number_of<quarantine::suspect_update> =
    message_number::suspect_update;
template <>
constexpr message_number message_number_of<quarantine::trial_decision> =
    message_number::trial_decision;
template <>
constexpr message_number message_number_of<stream_record_updates> =
    message_number::stream_record_updates;
template <>
constexpr message_number message_number_of<stream_lookup_request> =
    message_number::stream_lookup_request;
template <>
constexpr message_number message_number_of<stream_lookup_response> =
    message_number::stream_lookup_response;
template <>
constexpr message_number message_number_of<relay_lookup_request> =
    message_number::relay_lookup_request;
template <>
constexpr message_number message_number_of<relay_lookup_response> =
    message_number::relay_lookup_response;
template <>
constexpr message_number message_number_of<reach_report> = message_number::reach_report;
template <>
constexpr message_number message_number_of<relayed_call_request> =
    message_number::relayed_call_request;
template <>
constexpr message_number message_number_of<relayed_response_head> =
    message_number::relayed_response_head;
template <>
constexpr message_number message_number_of<relayed_response_data> =
    message_number::relayed_response_data;
template <>
constexpr message_number message_number_of<relayed_response_end> =
    message_number::relayed_response_end;
template <>
constexpr message_number message_number_of<relayed_call_failure> =
    message_number::relayed_call_failure;
template <>
constexpr message_number message_number_of<relayed_call_cancel> =
    message_number::relayed_call_cancel;
template <>
constexpr message_number message_number_of<relayed_data_taken> = message_number::relayed_data_taken;
template <>
constexpr message_number message_number_of<relay_stopping> = message_number::relay_stopping;
template <>
constexpr message_number message_number_of<usage_update> = message_number::usage_update;
template <>
constexpr message_number message_number_of<model_demand_report> =
    message_number::model_demand_report;

template <typename Message>
json write(const Message& outgoing) {
    json fields = json::array({number(message_number_of<Message>)});
    output_archive archive(fields);
    archive(outgoing);
    return fields;
}

template <typename Message>
message read_serializable(field_reader& fields) {
    Message decoded;
    input_archive archive(fields);
    archive(decoded);
    return decoded;
}

message read_forward_command(field_reader& fields) {
    return forward_command{fields.binary()};
}

message read_consensus_message(field_reader& fields) {
    return consensus_message{read_quorum_message(fields)};
}

message read_hello(field_reader& fields) {
    hello decoded;
    decoded.instance = instance_id(fields.text());
    decoded.incarnation = incarnation_id(fields.number());
    decoded.place.domain = failure_domain_id(fields.text());
    decoded.place.region = region_id(fields.text());
    decoded.role = static_cast<instance_role>(fields.number_up_to(3));
    decoded.address = fields.address();
    fields.for_each([&](field_reader& element) {
        const instance_id id(element.text());
        const endpoint address = element.address();
        if (id.value().empty() && address.address.empty()) {
            decoded.revision = address.port;
        } else {
            decoded.known.push_back({id, address});
        }
    });
    decoded.in_force = configuration_version(fields.number());
    return decoded;
}

message read_target_update(field_reader& fields) {
    target_update decoded;
    membership::target_record& record = decoded.record;
    record.id = target_id(fields.text());
    record.kind = static_cast<membership::target_kind>(fields.number_up_to(1));
    record.backend = backend_name(fields.text());
    record.address = fields.address();
    record.place.domain = failure_domain_id(fields.text());
    record.place.region = region_id(fields.text());
    record.slots = fields.integer();
    record.incarnation = incarnation_id(fields.number());
    record.sequence = fields.number();
    record.revision = fields.number();
    record.leaving = fields.boolean();
    record.gone = fields.boolean();
    record.version = weight_version(fields.number());
    fields.for_each([&](field_reader& element) {
        membership::model_weights weights;
        weights.model = model_name(element.binary());
        weights.version = weight_version(element.number());
        if (weights.model.value().empty()) {
            // See `write_target_weights`.
            record.spot = weights.version.value() % 2 == 1;
            record.leaves_after =
                std::chrono::milliseconds(std::min(weights.version.value() / 2, max_leaves_ms));
        } else {
            record.weights.push_back(weights);
        }
    });
    record.loading = fields.boolean();
    // Instances of earlier releases do not send it.
    if (fields.has_more()) {
        record.software = software_version(fields.text());
    }
    return decoded;
}

message read_target_heartbeats(field_reader& fields) {
    target_heartbeats decoded;
    fields.for_each([&](field_reader& element) {
        membership::target_load load;
        load.id = target_id(element.text());
        load.running = element.integer();
        load.waiting = element.integer();
        decoded.targets.push_back(load);
    });
    return decoded;
}

message read_configuration_update(field_reader& fields) {
    configuration_update decoded;
    decoded.version = configuration_version(fields.number());
    decoded.text = fields.binary();
    return decoded;
}

message read_configuration_in_force(field_reader& fields) {
    configuration_in_force decoded;
    decoded.instance = instance_id(fields.text());
    decoded.version = configuration_version(fields.number());
    return decoded;
}

message read_forward_call_request(field_reader& fields) {
    forward_call_request decoded;
    decoded.call = fields.number();
    decoded.key = idempotency_key(fields.binary());
    decoded.incarnation = incarnation_id(fields.number());
    decoded.caller = caller_id(fields.binary());
    decoded.work_class = work_class_name(fields.binary());
    decoded.service = backend_name(fields.text());
    decoded.method = fields.text();
    decoded.path = fields.binary();
    decoded.headers = read_headers(fields);
    decoded.body = fields.binary();
    return decoded;
}

message read_forward_call_response(field_reader& fields) {
    forward_call_response decoded;
    decoded.call = fields.number();
    decoded.status = fields.optional_http_status();
    decoded.outcome = fields.text();
    decoded.reason = fields.text();
    decoded.headers = read_headers(fields);
    decoded.body = fields.binary();
    return decoded;
}

message read_claim_request(field_reader& fields) {
    claim_request decoded;
    decoded.claim = fields.number();
    decoded.key = idempotency_key(fields.binary());
    decoded.owner = instance_id(fields.text());
    decoded.incarnation = incarnation_id(fields.number());
    return decoded;
}

message read_claim_response(field_reader& fields) {
    claim_response decoded;
    decoded.claim = fields.number();
    decoded.is_decided = fields.boolean();
    decoded.owner = instance_id(fields.text());
    decoded.incarnation = incarnation_id(fields.number());
    return decoded;
}

message read_instance_update(field_reader& fields) {
    instance_update decoded;
    decoded.instance.id = instance_id(fields.text());
    decoded.instance.address = fields.address();
    return decoded;
}

/// Decodes the fields of one message type.
struct message_decoder {
    message_number number;
    /// Names the message in errors. Part of the text that leaves the process, so it stays when the
    /// type is renamed.
    const char* name;
    message (*read)(field_reader&);
};

constexpr message_decoder message_decoders[] = {
    {message_number::hello, "hello", read_hello},
    {message_number::target_update, "target_news", read_target_update},
    {message_number::target_heartbeats, "targets_vouched", read_target_heartbeats},
    {message_number::configuration_update, "configuration_news", read_configuration_update},
    {message_number::configuration_in_force, "configuration_in_force", read_configuration_in_force},
    {message_number::forward_call_request, "call_forwarded", read_forward_call_request},
    {message_number::forward_call_response, "call_answered", read_forward_call_response},
    {message_number::claim_request, "claim_asked", read_claim_request},
    {message_number::claim_response, "claim_told", read_claim_response},
    {message_number::instance_update, "instance_news", read_instance_update},
    {message_number::consensus_message, "quorum_said", read_consensus_message},
    {message_number::forward_command, "command_forwarded", read_forward_command},
    {message_number::keepalive, "still_here", read_serializable<keepalive>},
    {message_number::fleet_update, "fleet_news", read_serializable<fleet_update>},
    {message_number::routes_update, "routes_news", read_serializable<routes_update>},
    {message_number::weights_update, "weights_news", read_serializable<weights_update>},
    {message_number::store_registration, "store_presented", read_serializable<store_registration>},
    {message_number::initial_members_update, "founders_news",
     read_serializable<initial_members_update>},
    {message_number::store_report, "store_report", read_serializable<store_report>},
    {message_number::leader_update, "leader_news", read_serializable<leader_update>},
    {message_number::submit_job_request, "job_submitted", read_serializable<submit_job_request>},
    {message_number::read_results_request, "results_asked",
     read_serializable<read_results_request>},
    {message_number::item_body_request, "item_body_asked", read_serializable<item_body_request>},
    {message_number::end_job_request, "job_end_asked", read_serializable<end_job_request>},
    {message_number::batch_response, "batch_answered", read_serializable<batch_response>},
    {message_number::run_item_request, "run_item_request", read_serializable<run_item_request>},
    {message_number::cancel_item_run, "cancel_item_run", read_serializable<cancel_item_run>},
    {message_number::item_run_updates, "item_run_updates", read_serializable<item_run_updates>},
    {message_number::target_leaving, "target_leaving", read_serializable<target_leaving>},
    {message_number::limit_report, "limit_report", read_serializable<limit_report>},
    {message_number::permit_demands, "permit_demands", read_serializable<permit_demands>},
    {message_number::permit_grants, "permit_grants", read_serializable<permit_grants>},
    {message_number::crash_report, "crash_report", read_serializable<quarantine::crash_report>},
    {message_number::completion_report, "completion_report",
     read_serializable<quarantine::completion_report>},
    {message_number::trial_demand, "trial_demand", read_serializable<quarantine::trial_demand>},
    {message_number::trial_end, "trial_end", read_serializable<quarantine::trial_end>},
    {message_number::copy_report, "copy_report", read_serializable<quarantine::copy_report>},
    {message_number::suspect_update, "suspect_update",
     read_serializable<quarantine::suspect_update>},
    {message_number::trial_decision, "trial_decision",
     read_serializable<quarantine::trial_decision>},
    {message_number::stream_record_updates, "stream_record_updates",
     read_serializable<stream_record_updates>},
    {message_number::stream_lookup_request, "stream_lookup_request",
     read_serializable<stream_lookup_request>},
    {message_number::stream_lookup_response, "stream_lookup_response",
     read_serializable<stream_lookup_response>},
    {message_number::relay_lookup_request, "relay_lookup_request",
     read_serializable<relay_lookup_request>},
    {message_number::relay_lookup_response, "relay_lookup_response",
     read_serializable<relay_lookup_response>},
    {message_number::reach_report, "reach_report", read_serializable<reach_report>},
    {message_number::relayed_call_request, "relayed_call_request",
     read_serializable<relayed_call_request>},
    {message_number::relayed_response_head, "relayed_response_head",
     read_serializable<relayed_response_head>},
    {message_number::relayed_response_data, "relayed_response_data",
     read_serializable<relayed_response_data>},
    {message_number::relayed_response_end, "relayed_response_end",
     read_serializable<relayed_response_end>},
    {message_number::relayed_call_failure, "relayed_call_failure",
     read_serializable<relayed_call_failure>},
    {message_number::relayed_call_cancel, "relayed_call_cancel",
     read_serializable<relayed_call_cancel>},
    {message_number::relayed_data_taken, "relayed_data_taken",
     read_serializable<relayed_data_taken>},
    {message_number::relay_stopping, "relay_stopping", read_serializable<relay_stopping>},
    {message_number::usage_update, "usage_update", read_serializable<usage_update>},
    {message_number::model_demand_report, "model_demand_report",
     read_serializable<model_demand_report>},
};

} // namespace

std::string encode(const message& outgoing) {
    const json fields = std::visit([](const auto& content) { return write(content); }, outgoing);
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

outcome<message> decode(std::string_view bytes) {
    json fields;
    depth_limited_parser parser(fields);
    const bool is_parsed = json::sax_parse(bytes, &parser, json::input_format_t::cbor);
    if (!is_parsed || !fields.is_array() || fields.empty() || !fields[0].is_number_unsigned()) {
        return fail(error_code::invalid_input,
                    "message is not a CBOR array that starts with a message number");
    }
    const auto number = fields[0].get<std::uint64_t>();
    for (const message_decoder& decoder : message_decoders) {
        if (number != static_cast<std::uint64_t>(decoder.number)) {
            continue;
        }
        field_reader reader(fields, decoder.name, 1);
        message decoded = decoder.read(reader);
        BOOST_LEAF_CHECK(reader.finish());
        return decoded;
    }
    return fail(error_code::invalid_input, "unknown message number " + std::to_string(number));
}

} // namespace kingcupcart::wire
