#include "wire/keeper_codec.h"

#include "wire/internal/quorum_fields.h"
#include "wire/internal/shallow_parser.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;
using replicated::replicated_state;

constexpr std::uint64_t records_last = 3;
constexpr std::uint64_t commands_last = 1;

std::string print(const json& fields) {
    std::string bytes;
    json::to_cbor(fields, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

outcome<json> parse(std::string_view bytes) {
    json fields;
    shallow_parser parser(fields);
    if (!json::sax_parse(bytes, &parser, json::input_format_t::cbor) || !fields.is_array()) {
        return fail(error_code::invalid_input, "record is no CBOR array");
    }
    return fields;
}

json write(const disk_named& record) {
    return json::array({0, record.disk.value()});
}

json write(const quorum::keep_vote& record) {
    return json::array({1, record.term.value(), record.voted_for.value()});
}

json write(const quorum::keep_entries& record) {
    return json::array({2, record.first.value(), write_entries(record.entries)});
}

json write(const quorum::keep_snapshot& record) {
    return json::array({3, record.index.value(), record.index_term.value(),
                        write_membership(record.voters), write_bytes(record.data)});
}

json write(const replicated::accept_configuration& order, const replicated::command_origin& by) {
    return json::array({0, by.keeper.value(), by.incarnation.value(), by.number,
                        write_bytes(order.order_id), order.base.value(), write_bytes(order.text),
                        static_cast<std::uint64_t>(order.at.count())});
}

json write(const replicated::claim_key& claim, const replicated::command_origin& by) {
    return json::array({1, by.keeper.value(), by.incarnation.value(), by.number,
                        write_bytes(claim.key.value()), claim.home.value(),
                        claim.incarnation.value(), static_cast<std::uint64_t>(claim.at.count())});
}

replicated::wall_seconds read_seconds(field_reader& fields) {
    return replicated::wall_seconds(static_cast<std::int64_t>(fields.number()));
}

} // namespace

std::string encode_record(const journal_record& record) {
    return print(std::visit([](const auto& alternative) { return write(alternative); }, record));
}

outcome<journal_record> decode_record(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse(bytes));
    field_reader fields(parsed, "journal record");
    journal_record record;
    switch (fields.number_up_to(records_last)) {
    case 0:
        record = disk_named{quorum::disk_id(fields.number())};
        break;
    case 1: {
        quorum::keep_vote vote;
        vote.term = quorum::term_number(fields.number());
        vote.voted_for = instance_id(fields.text());
        record = vote;
        break;
    }
    case 2: {
        quorum::keep_entries kept;
        kept.first = quorum::log_index(fields.number());
        kept.entries = read_entries(fields);
        record = kept;
        break;
    }
    default: {
        quorum::keep_snapshot kept;
        kept.index = quorum::log_index(fields.number());
        kept.index_term = quorum::term_number(fields.number());
        kept.voters = read_membership(fields);
        kept.data = fields.binary();
        record = kept;
        break;
    }
    }
    BOOST_LEAF_CHECK(fields.finish());
    return record;
}

std::string encode_command(const replicated::logged_command& command) {
    return print(
        std::visit([&](const auto& alternative) { return write(alternative, command.origin); },
                   command.content));
}

outcome<replicated::logged_command> decode_command(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse(bytes));
    field_reader fields(parsed, "command");
    replicated::logged_command command;
    const bool is_order = fields.number_up_to(commands_last) == 0;
    command.origin.keeper = instance_id(fields.text());
    command.origin.incarnation = incarnation_id(fields.number());
    command.origin.number = fields.number();
    if (is_order) {
        replicated::accept_configuration order;
        order.order_id = fields.binary();
        order.base = configuration_version(fields.number());
        order.text = fields.binary();
        order.at = read_seconds(fields);
        command.content = order;
    } else {
        replicated::claim_key claim;
        claim.key = idempotency_key(fields.binary());
        claim.home = instance_id(fields.text());
        claim.incarnation = incarnation_id(fields.number());
        claim.at = read_seconds(fields);
        command.content = claim;
    }
    BOOST_LEAF_CHECK(fields.finish());
    return command;
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
        claims.push_back(json::array({write_bytes(claim.key.value()), claim.home.home.value(),
                                      claim.home.incarnation.value(),
                                      static_cast<std::uint64_t>(claim.at.count())}));
    }
    return print(json::array({content.version.value(), write_bytes(content.text), std::move(orders),
                              std::move(claims)}));
}

outcome<replicated_state::content> decode_state(std::string_view bytes) {
    BOOST_LEAF_AUTO(parsed, parse(bytes));
    field_reader fields(parsed, "state");
    replicated_state::content content;
    content.version = configuration_version(fields.number());
    content.text = fields.binary();
    fields.each([&](field_reader& one) {
        replicated_state::order_record order;
        order.order_id = one.binary();
        order.outcome.is_accepted = one.boolean();
        order.outcome.version = configuration_version(one.number());
        order.at = read_seconds(one);
        content.orders.push_back(std::move(order));
    });
    fields.each([&](field_reader& one) {
        replicated_state::claim_record claim;
        claim.key = idempotency_key(one.binary());
        claim.home.home = instance_id(one.text());
        claim.home.incarnation = incarnation_id(one.number());
        claim.at = read_seconds(one);
        content.claims.push_back(std::move(claim));
    });
    BOOST_LEAF_CHECK(fields.finish());
    return content;
}

} // namespace kingcupcart::wire
