#include "wire/codec.h"

#include "wire/internal/serialization.h"
#include "wire/internal/field_reader.h"
#include "wire/internal/input_archive.h"
#include "wire/internal/output_archive.h"
#include "wire/internal/quorum_fields.h"
#include "wire/internal/depth_limited_parser.h"

#include <nlohmann/json.hpp>

#include <string>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;

/// The number of each message on the wire; a number is never used again for another message.
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
    batch_response = 25
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
    fields.each([&](field_reader& one) {
        header_field header;
        header.name = one.binary();
        header.value = one.binary();
        headers.push_back(std::move(header));
    });
    return headers;
}

json write_weights(const std::vector<membership::model_weights>& weights) {
    json written = json::array();
    for (const membership::model_weights& one : weights) {
        written.push_back(json::array({binary(one.model.value()), one.version.value()}));
    }
    return written;
}

json write(const hello& said) {
    json known = json::array();
    for (const instance_address& one : said.known) {
        known.push_back(json::array({one.id.value(), one.address.address, one.address.port}));
    }
    return json::array(
        {number(message_number::hello), said.instance.value(), said.incarnation.value(),
         said.place.domain.value(), said.place.region.value(), static_cast<std::uint8_t>(said.role),
         said.address.address, said.address.port, std::move(known), said.in_force.value()});
}

json write(const target_update& said) {
    const membership::target_record& record = said.record;
    return json::array({number(message_number::target_update), record.id.value(),
                        static_cast<std::uint8_t>(record.kind), record.backend.value(),
                        record.address.address, record.address.port, record.place.domain.value(),
                        record.place.region.value(), static_cast<std::uint64_t>(record.slots),
                        record.incarnation.value(), record.sequence, record.revision,
                        record.leaving, record.gone, record.version.value(),
                        write_weights(record.weights), record.loading});
}

json write(const target_heartbeats& said) {
    json targets = json::array();
    for (const membership::target_load& load : said.targets) {
        targets.push_back(json::array({load.id.value(), static_cast<std::uint64_t>(load.running),
                                       static_cast<std::uint64_t>(load.waiting)}));
    }
    return json::array({number(message_number::target_heartbeats), std::move(targets)});
}

json write(const configuration_update& said) {
    return json::array(
        {number(message_number::configuration_update), said.version.value(), binary(said.text)});
}

json write(const configuration_in_force& said) {
    return json::array({number(message_number::configuration_in_force), said.instance.value(),
                        said.version.value()});
}

json write(const forward_call_request& said) {
    return json::array({number(message_number::forward_call_request), said.call,
                        binary(said.key.value()), said.incarnation.value(),
                        binary(said.caller.value()), binary(said.work_class.value()),
                        said.service.value(), said.method, binary(said.path),
                        write_headers(said.headers), binary(said.body)});
}

json write(const forward_call_response& said) {
    return json::array({number(message_number::forward_call_response), said.call,
                        static_cast<std::uint64_t>(said.status), said.outcome, said.reason,
                        write_headers(said.headers), binary(said.body)});
}

json write(const claim_request& said) {
    return json::array({number(message_number::claim_request), said.claim, binary(said.key.value()),
                        said.owner.value(), said.incarnation.value()});
}

json write(const claim_response& said) {
    return json::array({number(message_number::claim_response), said.claim, said.is_decided,
                        said.owner.value(), said.incarnation.value()});
}

json write(const instance_update& said) {
    return json::array({number(message_number::instance_update), said.instance.id.value(),
                        said.instance.address.address, said.instance.address.port});
}

json write(const consensus_message& said) {
    json fields = json::array({number(message_number::consensus_message)});
    write_quorum(fields, said.content);
    return fields;
}

json write(const forward_command& said) {
    return json::array({number(message_number::forward_command), binary(said.command)});
}

/// The number of a message whose fields are described.
template <typename Message>
constexpr message_number number_of = message_number::hello;
template <>
constexpr message_number number_of<keepalive> = message_number::keepalive;
template <>
constexpr message_number number_of<fleet_update> = message_number::fleet_update;
template <>
constexpr message_number number_of<routes_update> = message_number::routes_update;
template <>
constexpr message_number number_of<weights_update> = message_number::weights_update;
template <>
constexpr message_number number_of<store_registration> = message_number::store_registration;
template <>
constexpr message_number number_of<initial_members_update> = message_number::initial_members_update;
template <>
constexpr message_number number_of<store_report> = message_number::store_report;
template <>
constexpr message_number number_of<leader_update> = message_number::leader_update;
template <>
constexpr message_number number_of<submit_job_request> = message_number::submit_job_request;
template <>
constexpr message_number number_of<read_results_request> = message_number::read_results_request;
template <>
constexpr message_number number_of<item_body_request> = message_number::item_body_request;
template <>
constexpr message_number number_of<end_job_request> = message_number::end_job_request;
template <>
constexpr message_number number_of<batch_response> = message_number::batch_response;

template <typename Message>
json write(const Message& said) {
    json fields = json::array({number(number_of<Message>)});
    field_writer writer(fields);
    writer(said);
    return fields;
}

template <typename Message>
message read_described(field_reader& fields) {
    Message said;
    field_taker taker(fields);
    taker(said);
    return said;
}

message read_command_forwarded(field_reader& fields) {
    return forward_command{fields.binary()};
}

message read_quorum_said(field_reader& fields) {
    return consensus_message{read_quorum(fields)};
}

message read_hello(field_reader& fields) {
    hello said;
    said.instance = instance_id(fields.text());
    said.incarnation = incarnation_id(fields.number());
    said.place.domain = failure_domain_id(fields.text());
    said.place.region = region_id(fields.text());
    said.role = static_cast<instance_role>(fields.number_up_to(3));
    said.address = fields.address();
    fields.each([&](field_reader& one) {
        const instance_id id(one.text());
        said.known.push_back({id, one.address()});
    });
    said.in_force = configuration_version(fields.number());
    return said;
}

message read_target_news(field_reader& fields) {
    target_update said;
    membership::target_record& record = said.record;
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
    fields.each([&](field_reader& one) {
        membership::model_weights weights;
        weights.model = model_name(one.binary());
        weights.version = weight_version(one.number());
        record.weights.push_back(weights);
    });
    record.loading = fields.boolean();
    return said;
}

message read_targets_vouched(field_reader& fields) {
    target_heartbeats said;
    fields.each([&](field_reader& one) {
        membership::target_load load;
        load.id = target_id(one.text());
        load.running = one.integer();
        load.waiting = one.integer();
        said.targets.push_back(load);
    });
    return said;
}

message read_configuration_news(field_reader& fields) {
    configuration_update said;
    said.version = configuration_version(fields.number());
    said.text = fields.binary();
    return said;
}

message read_configuration_in_force(field_reader& fields) {
    configuration_in_force said;
    said.instance = instance_id(fields.text());
    said.version = configuration_version(fields.number());
    return said;
}

message read_call_forwarded(field_reader& fields) {
    forward_call_request said;
    said.call = fields.number();
    said.key = idempotency_key(fields.binary());
    said.incarnation = incarnation_id(fields.number());
    said.caller = caller_id(fields.binary());
    said.work_class = work_class_name(fields.binary());
    said.service = backend_name(fields.text());
    said.method = fields.text();
    said.path = fields.binary();
    said.headers = read_headers(fields);
    said.body = fields.binary();
    return said;
}

message read_call_answered(field_reader& fields) {
    forward_call_response said;
    said.call = fields.number();
    said.status = fields.integer();
    said.outcome = fields.text();
    said.reason = fields.text();
    said.headers = read_headers(fields);
    said.body = fields.binary();
    return said;
}

message read_claim_asked(field_reader& fields) {
    claim_request said;
    said.claim = fields.number();
    said.key = idempotency_key(fields.binary());
    said.owner = instance_id(fields.text());
    said.incarnation = incarnation_id(fields.number());
    return said;
}

message read_claim_told(field_reader& fields) {
    claim_response said;
    said.claim = fields.number();
    said.is_decided = fields.boolean();
    said.owner = instance_id(fields.text());
    said.incarnation = incarnation_id(fields.number());
    return said;
}

message read_instance_news(field_reader& fields) {
    instance_update said;
    said.instance.id = instance_id(fields.text());
    said.instance.address = fields.address();
    return said;
}

struct reading {
    message_number number;
    const char* name;
    message (*read)(field_reader&);
};

constexpr reading readings[] = {
    {message_number::hello, "hello", read_hello},
    {message_number::target_update, "target_news", read_target_news},
    {message_number::target_heartbeats, "targets_vouched", read_targets_vouched},
    {message_number::configuration_update, "configuration_news", read_configuration_news},
    {message_number::configuration_in_force, "configuration_in_force", read_configuration_in_force},
    {message_number::forward_call_request, "call_forwarded", read_call_forwarded},
    {message_number::forward_call_response, "call_answered", read_call_answered},
    {message_number::claim_request, "claim_asked", read_claim_asked},
    {message_number::claim_response, "claim_told", read_claim_told},
    {message_number::instance_update, "instance_news", read_instance_news},
    {message_number::consensus_message, "quorum_said", read_quorum_said},
    {message_number::forward_command, "command_forwarded", read_command_forwarded},
    {message_number::keepalive, "still_here", read_described<keepalive>},
    {message_number::fleet_update, "fleet_news", read_described<fleet_update>},
    {message_number::routes_update, "routes_news", read_described<routes_update>},
    {message_number::weights_update, "weights_news", read_described<weights_update>},
    {message_number::store_registration, "store_presented", read_described<store_registration>},
    {message_number::initial_members_update, "founders_news",
     read_described<initial_members_update>},
    {message_number::store_report, "store_report", read_described<store_report>},
    {message_number::leader_update, "leader_news", read_described<leader_update>},
    {message_number::submit_job_request, "job_submitted", read_described<submit_job_request>},
    {message_number::read_results_request, "results_asked", read_described<read_results_request>},
    {message_number::item_body_request, "item_body_asked", read_described<item_body_request>},
    {message_number::end_job_request, "job_end_asked", read_described<end_job_request>},
    {message_number::batch_response, "batch_answered", read_described<batch_response>},
};

} // namespace

std::string encode(const message& outgoing) {
    const json fields = std::visit([](const auto& said) { return write(said); }, outgoing);
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

outcome<message> decode(std::string_view bytes) {
    json fields;
    shallow_parser parser(fields);
    const bool is_parsed = json::sax_parse(bytes, &parser, json::input_format_t::cbor);
    if (!is_parsed || !fields.is_array() || fields.empty() || !fields[0].is_number_unsigned()) {
        return fail(error_code::invalid_input,
                    "message is no CBOR array that begins with a number");
    }
    const auto number = fields[0].get<std::uint64_t>();
    for (const reading& one : readings) {
        if (number != static_cast<std::uint64_t>(one.number)) {
            continue;
        }
        field_reader reader(fields, one.name, 1);
        message said = one.read(reader);
        BOOST_LEAF_CHECK(reader.finish());
        return said;
    }
    return fail(error_code::invalid_input, "unknown message number " + std::to_string(number));
}

} // namespace kingcupcart::wire
