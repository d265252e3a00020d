#include "wire/storage_codec.h"

#include "wire/internal/depth_limited_parser.h"
#include "wire/internal/input_archive.h"
#include "wire/internal/output_archive.h"
#include "wire/internal/quorum_fields.h"
#include "wire/internal/serialization.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;
using replicated::replicated_state;

constexpr std::uint64_t last_record_number = std::variant_size_v<journal_record> - 1;
/// A command's number in the log is its index in the variant. The first two commands have encoders
/// of their own; `serialize` handles the others.
constexpr std::uint64_t last_command_number = std::variant_size_v<replicated::command> - 1;
constexpr std::uint64_t first_serializable_command = 2;

std::string to_bytes(const json& fields) {
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

outcome<json> parse_array(std::string_view bytes) {
    json fields;
    depth_limited_parser parser(fields);
    if (!json::sax_parse(bytes, &parser, json::input_format_t::cbor) || !fields.is_array()) {
        return fail(error_code::invalid_input, "record is not a CBOR array");
    }
    return fields;
}

json write(const disk_identity& record) {
    return json::array({0, record.disk.value()});
}

json write(const quorum::persist_vote& record) {
    return json::array({1, record.term.value(), record.voted_for.value()});
}

json write(const quorum::persist_entries& record) {
    return json::array({2, record.first.value(), write_entries(record.entries)});
}

json write(const snapshot_header& record) {
    return json::array(
        {3, record.index.value(), record.index_term.value(), write_membership(record.voters)});
}

json write(const snapshot_piece& record) {
    return json::array({4, write_bytes(record.data)});
}

void write(json& fields, const replicated::accept_configuration& order) {
    fields.push_back(write_bytes(order.order_id));
    fields.push_back(order.base.value());
    fields.push_back(write_bytes(order.text));
    fields.push_back(static_cast<std::uint64_t>(order.at.count()));
}

void write(json& fields, const replicated::claim_key& claim) {
    fields.push_back(write_bytes(claim.key.value()));
    fields.push_back(claim.owner.value());
    fields.push_back(claim.incarnation.value());
    fields.push_back(static_cast<std::uint64_t>(claim.at.count()));
}

template <typename Serializable>
void write(json& fields, const Serializable& command) {
    output_archive archive(fields);
    archive(command);
}

/// Reads the alternative with the index `number` of a variant of serializable types.
template <typename Variant, std::size_t Index = 0>
Variant read_alternative(std::uint64_t number, field_reader& fields) {
    if constexpr (Index + 1 < std::variant_size_v<Variant>) {
        if (number != Index) {
            return read_alternative<Variant, Index + 1>(number, fields);
        }
    }
    std::variant_alternative_t<Index, Variant> decoded;
    input_archive archive(fields);
    if constexpr (requires { serialize(archive, decoded); }) {
        archive(decoded);
    }
    return Variant(std::in_place_index<Index>, std::move(decoded));
}

replicated::wall_seconds read_seconds(field_reader& fields) {
    return replicated::wall_seconds(static_cast<std::int64_t>(fields.number()));
}

} // namespace

std::string encode_record(const journal_record& record) {
    return to_bytes(std::visit([](const auto& alternative) { return write(alternative); }, record));
}

outcome<journal_record> decode_record(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse_array(bytes));
    field_reader fields(parsed, "journal record");
    journal_record record;
    switch (fields.number_up_to(last_record_number)) {
    case 0:
        record = disk_identity{quorum::disk_id(fields.number())};
        break;
    case 1: {
        quorum::persist_vote vote;
        vote.term = quorum::term_number(fields.number());
        vote.voted_for = instance_id(fields.text());
        record = vote;
        break;
    }
    case 2: {
        quorum::persist_entries persisted;
        persisted.first = quorum::log_index(fields.number());
        persisted.entries = read_entries(fields);
        record = persisted;
        break;
    }
    case 3: {
        snapshot_header header;
        header.index = quorum::log_index(fields.number());
        header.index_term = quorum::term_number(fields.number());
        header.voters = read_membership(fields);
        record = header;
        break;
    }
    default:
        record = snapshot_piece{fields.binary()};
        break;
    }
    BOOST_LEAF_CHECK(fields.finish());
    return record;
}

std::string encode_command(const replicated::logged_command& command) {
    json fields = json::array({static_cast<std::uint64_t>(command.content.index())});
    fields.push_back(command.origin.keeper.value());
    fields.push_back(command.origin.incarnation.value());
    fields.push_back(command.origin.number);
    std::visit([&](const auto& alternative) { write(fields, alternative); }, command.content);
    return to_bytes(fields);
}

outcome<replicated::logged_command> decode_command(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse_array(bytes));
    field_reader fields(parsed, "command");
    replicated::logged_command command;
    const std::uint64_t number = fields.number_up_to(last_command_number);
    command.origin.keeper = instance_id(fields.text());
    command.origin.incarnation = incarnation_id(fields.number());
    command.origin.number = fields.number();
    if (number >= first_serializable_command) {
        command.content = read_alternative<replicated::command>(number, fields);
    } else if (number == 0) {
        replicated::accept_configuration order;
        order.order_id = fields.binary();
        order.base = configuration_version(fields.number());
        order.text = fields.binary();
        order.at = read_seconds(fields);
        command.content = order;
    } else {
        replicated::claim_key claim;
        claim.key = idempotency_key(fields.binary());
        claim.owner = instance_id(fields.text());
        claim.incarnation = incarnation_id(fields.number());
        claim.at = read_seconds(fields);
        command.content = claim;
    }
    BOOST_LEAF_CHECK(fields.finish());
    return command;
}

std::string encode_command(const batch_command& command) {
    json fields = json::array({static_cast<std::uint64_t>(command.content.index())});
    output_archive archive(fields);
    archive(command.origin);
    std::visit([&](const auto& alternative) { archive(alternative); }, command.content);
    return to_bytes(fields);
}

outcome<batch_command> decode_batch_command(std::string_view bytes) {
    constexpr std::uint64_t last_number = std::variant_size_v<batch::command> - 1;
    BOOST_LEAF_AUTO(parsed, parse_array(bytes));
    field_reader fields(parsed, "batch command");
    const std::uint64_t number = fields.number_up_to(last_number);
    batch_command command;
    input_archive archive(fields);
    archive(command.origin);
    command.content = read_alternative<batch::command>(number, fields);
    BOOST_LEAF_CHECK(fields.finish());
    return command;
}

std::string encode_state(const batch::job_snapshot_piece& piece) {
    json fields = json::array();
    output_archive archive(fields);
    archive(piece);
    return to_bytes(fields);
}

outcome<batch::job_snapshot_piece> decode_job_snapshot_piece(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse_array(bytes));
    field_reader fields(parsed, "job snapshot chunk");
    batch::job_snapshot_piece piece;
    input_archive archive(fields);
    archive(piece);
    BOOST_LEAF_CHECK(fields.finish());
    return piece;
}

std::string encode_state(const replicated_state::content& content) {
    json orders = json::array();
    for (const replicated_state::order_record& order : content.orders) {
        orders.push_back(json::array({write_bytes(order.order_id), order.outcome.is_accepted,
                                      order.outcome.version.value(),
                                      static_cast<std::uint64_t>(order.at.count())}));
    }
    json claims = json::array();
    for (const replicated_state::claim_record& claim : content.claims) {
        claims.push_back(json::array({write_bytes(claim.key.value()), claim.owner.owner.value(),
                                      claim.owner.incarnation.value(),
                                      static_cast<std::uint64_t>(claim.at.count())}));
    }
    json fields = json::array(
        {content.version.value(), write_bytes(content.text), std::move(orders), std::move(claims)});
    output_archive archive(fields);
    archive(content.routes_version, content.routes_document, content.weights,
            content.initial_stores, content.leaving_stores);
    archive.trailing(content.usage);
    return to_bytes(fields);
}

outcome<replicated_state::content> decode_state(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse_array(bytes));
    field_reader fields(parsed, "replicated state");
    replicated_state::content content;
    content.version = configuration_version(fields.number());
    content.text = fields.binary();
    fields.for_each([&](field_reader& element) {
        replicated_state::order_record order;
        order.order_id = element.binary();
        order.outcome.is_accepted = element.boolean();
        order.outcome.version = configuration_version(element.number());
        order.at = read_seconds(element);
        content.orders.push_back(std::move(order));
    });
    fields.for_each([&](field_reader& element) {
        replicated_state::claim_record claim;
        claim.key = idempotency_key(element.binary());
        claim.owner.owner = instance_id(element.text());
        claim.owner.incarnation = incarnation_id(element.number());
        claim.at = read_seconds(element);
        content.claims.push_back(std::move(claim));
    });
    input_archive archive(fields);
    archive(content.routes_version, content.routes_document, content.weights,
            content.initial_stores, content.leaving_stores);
    archive.trailing(content.usage);
    BOOST_LEAF_CHECK(fields.finish());
    return content;
}

} // namespace kingcupcart::wire
