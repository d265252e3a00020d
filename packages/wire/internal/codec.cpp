#include "wire/codec.h"

#include "wire/internal/descriptions.h"
#include "wire/internal/field_reader.h"
#include "wire/internal/field_taker.h"
#include "wire/internal/field_writer.h"
#include "wire/internal/quorum_fields.h"
#include "wire/internal/shallow_parser.h"

#include <nlohmann/json.hpp>

#include <string>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;

/// The number of each message on the wire; a number is never used again for another message.
enum class message_number : std::uint8_t {
    hello = 1,
    target_news = 2,
    targets_vouched = 3,
    configuration_news = 4,
    configuration_in_force = 5,
    call_forwarded = 6,
    call_answered = 7,
    claim_asked = 8,
    claim_told = 9,
    instance_news = 10,
    quorum_said = 11,
    command_forwarded = 12,
    still_here = 13,
    fleet_news = 14,
    routes_news = 15,
    weights_news = 16,
    store_presented = 17,
    founders_news = 18,
    store_report = 19,
    leader_news = 20,
    job_submitted = 21,
    results_asked = 22,
    item_body_asked = 23,
    job_end_asked = 24,
    batch_answered = 25
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

json write(const target_news& said) {
    const membership::target_record& record = said.record;
    return json::array({number(message_number::target_news), record.id.value(),
                        static_cast<std::uint8_t>(record.kind), record.backend.value(),
                        record.address.address, record.address.port, record.place.domain.value(),
                        record.place.region.value(), static_cast<std::uint64_t>(record.slots),
                        record.incarnation.value(), record.sequence, record.revision,
                        record.leaving, record.gone, record.version.value(),
                        write_weights(record.weights), record.loading});
}

json write(const targets_vouched& said) {
    json targets = json::array();
    for (const membership::target_load& load : said.targets) {
        targets.push_back(json::array({load.id.value(), static_cast<std::uint64_t>(load.running),
                                       static_cast<std::uint64_t>(load.waiting)}));
    }
    return json::array({number(message_number::targets_vouched), std::move(targets)});
}

json write(const configuration_news& said) {
    return json::array(
        {number(message_number::configuration_news), said.version.value(), binary(said.text)});
}

json write(const configuration_in_force& said) {
    return json::array({number(message_number::configuration_in_force), said.instance.value(),
                        said.version.value()});
}

json write(const call_forwarded& said) {
    return json::array({number(message_number::call_forwarded), said.call, binary(said.key.value()),
                        said.incarnation.value(), binary(said.caller.value()),
                        binary(said.work_class.value()), said.service.value(), said.method,
                        binary(said.path), write_headers(said.headers), binary(said.body)});
}

json write(const call_answered& said) {
    return json::array({number(message_number::call_answered), said.call,
                        static_cast<std::uint64_t>(said.status), said.outcome, said.reason,
                        write_headers(said.headers), binary(said.body)});
}

json write(const claim_asked& said) {
    return json::array({number(message_number::claim_asked), said.claim, binary(said.key.value()),
                        said.home.value(), said.incarnation.value()});
}

json write(const claim_told& said) {
    return json::array({number(message_number::claim_told), said.claim, said.is_decided,
                        said.home.value(), said.incarnation.value()});
}

json write(const instance_news& said) {
    return json::array({number(message_number::instance_news), said.instance.id.value(),
                        said.instance.address.address, said.instance.address.port});
}

json write(const quorum_said& said) {
    json fields = json::array({number(message_number::quorum_said)});
    write_quorum(fields, said.content);
    return fields;
}

json write(const command_forwarded& said) {
    return json::array({number(message_number::command_forwarded), binary(said.command)});
}

/// The number of a message whose fields are described.
template <typename Message>
constexpr message_number number_of = message_number::hello;
template <>
constexpr message_number number_of<still_here> = message_number::still_here;
template <>
constexpr message_number number_of<fleet_news> = message_number::fleet_news;
template <>
constexpr message_number number_of<routes_news> = message_number::routes_news;
template <>
constexpr message_number number_of<weights_news> = message_number::weights_news;
template <>
constexpr message_number number_of<store_presented> = message_number::store_presented;
template <>
constexpr message_number number_of<founders_news> = message_number::founders_news;
template <>
constexpr message_number number_of<store_report> = message_number::store_report;
template <>
constexpr message_number number_of<leader_news> = message_number::leader_news;
template <>
constexpr message_number number_of<job_submitted> = message_number::job_submitted;
template <>
constexpr message_number number_of<results_asked> = message_number::results_asked;
template <>
constexpr message_number number_of<item_body_asked> = message_number::item_body_asked;
template <>
constexpr message_number number_of<job_end_asked> = message_number::job_end_asked;
template <>
constexpr message_number number_of<batch_answered> = message_number::batch_answered;

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
    return command_forwarded{fields.binary()};
}

message read_quorum_said(field_reader& fields) {
    return quorum_said{read_quorum(fields)};
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
    target_news said;
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
    targets_vouched said;
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
    configuration_news said;
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
    call_forwarded said;
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
    call_answered said;
    said.call = fields.number();
    said.status = fields.integer();
    said.outcome = fields.text();
    said.reason = fields.text();
    said.headers = read_headers(fields);
    said.body = fields.binary();
    return said;
}

message read_claim_asked(field_reader& fields) {
    claim_asked said;
    said.claim = fields.number();
    said.key = idempotency_key(fields.binary());
    said.home = instance_id(fields.text());
    said.incarnation = incarnation_id(fields.number());
    return said;
}

message read_claim_told(field_reader& fields) {
    claim_told said;
    said.claim = fields.number();
    said.is_decided = fields.boolean();
    said.home = instance_id(fields.text());
    said.incarnation = incarnation_id(fields.number());
    return said;
}

message read_instance_news(field_reader& fields) {
    instance_news said;
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
    {message_number::target_news, "target_news", read_target_news},
    {message_number::targets_vouched, "targets_vouched", read_targets_vouched},
    {message_number::configuration_news, "configuration_news", read_configuration_news},
    {message_number::configuration_in_force, "configuration_in_force", read_configuration_in_force},
    {message_number::call_forwarded, "call_forwarded", read_call_forwarded},
    {message_number::call_answered, "call_answered", read_call_answered},
    {message_number::claim_asked, "claim_asked", read_claim_asked},
    {message_number::claim_told, "claim_told", read_claim_told},
    {message_number::instance_news, "instance_news", read_instance_news},
    {message_number::quorum_said, "quorum_said", read_quorum_said},
    {message_number::command_forwarded, "command_forwarded", read_command_forwarded},
    {message_number::still_here, "still_here", read_described<still_here>},
    {message_number::fleet_news, "fleet_news", read_described<fleet_news>},
    {message_number::routes_news, "routes_news", read_described<routes_news>},
    {message_number::weights_news, "weights_news", read_described<weights_news>},
    {message_number::store_presented, "store_presented", read_described<store_presented>},
    {message_number::founders_news, "founders_news", read_described<founders_news>},
    {message_number::store_report, "store_report", read_described<store_report>},
    {message_number::leader_news, "leader_news", read_described<leader_news>},
    {message_number::job_submitted, "job_submitted", read_described<job_submitted>},
    {message_number::results_asked, "results_asked", read_described<results_asked>},
    {message_number::item_body_asked, "item_body_asked", read_described<item_body_asked>},
    {message_number::job_end_asked, "job_end_asked", read_described<job_end_asked>},
    {message_number::batch_answered, "batch_answered", read_described<batch_answered>},
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
