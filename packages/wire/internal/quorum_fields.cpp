#include "wire/internal/quorum_fields.h"

#include <utility>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;

void add(json& fields, const quorum::member& one) {
    fields.push_back(one.id.value());
    fields.push_back(one.disk.value());
}

quorum::member read_member(field_reader& fields) {
    quorum::member one;
    one.id = instance_id(fields.text());
    one.disk = quorum::disk_id(fields.number());
    return one;
}

/// Order of the alternatives of `quorum::message`, which is their number on the wire.
enum class quorum_number : std::uint8_t {
    vote_request,
    vote_response,
    append_entries_request,
    append_entries_response,
    install_snapshot_request,
    join_request,
    install_snapshot_response
};

void write(json& fields, const quorum::vote_request& said) {
    fields.push_back(said.term.value());
    add(fields, said.candidate);
    fields.push_back(said.last_index.value());
    fields.push_back(said.last_term.value());
    fields.push_back(said.is_pre_vote);
}

void write(json& fields, const quorum::vote_response& said) {
    fields.push_back(said.term.value());
    add(fields, said.voter);
    fields.push_back(said.is_granted);
    fields.push_back(said.is_pre_vote);
}

void write(json& fields, const quorum::append_entries_request& said) {
    fields.push_back(said.term.value());
    add(fields, said.leader);
    fields.push_back(said.previous_index.value());
    fields.push_back(said.previous_term.value());
    fields.push_back(write_entries(said.entries));
    fields.push_back(said.committed.value());
}

void write(json& fields, const quorum::append_entries_response& said) {
    fields.push_back(said.term.value());
    add(fields, said.follower);
    fields.push_back(said.is_taken);
    fields.push_back(said.match.value());
}

void write(json& fields, const quorum::install_snapshot_request& said) {
    fields.push_back(said.term.value());
    add(fields, said.leader);
    fields.push_back(said.index.value());
    fields.push_back(said.index_term.value());
    fields.push_back(write_membership(said.voters));
    fields.push_back(said.piece);
    fields.push_back(said.piece_count);
    fields.push_back(write_bytes(said.data));
}

void write(json& fields, const quorum::install_snapshot_response& said) {
    fields.push_back(said.term.value());
    add(fields, said.follower);
    fields.push_back(said.index.value());
    fields.push_back(said.pieces_received);
}

void write(json& fields, const quorum::join_request& said) {
    add(fields, said.joining);
}

} // namespace

json write_bytes(const std::string& content) {
    return json::binary(std::vector<std::uint8_t>(content.begin(), content.end()));
}

/// An array that holds one membership, so that a missing one is an empty array.
json write_membership(const quorum::membership& voters) {
    json members = json::array();
    for (const quorum::member& one : voters.voters) {
        json fields = json::array();
        add(fields, one);
        members.push_back(std::move(fields));
    }
    return json::array({json::array({std::move(members), voters.joining.value()})});
}

quorum::membership read_membership(field_reader& fields) {
    quorum::membership read;
    fields.each([&](field_reader& one) {
        one.each([&](field_reader& voter) { read.voters.push_back(read_member(voter)); });
        read.joining = instance_id(one.text());
    });
    return read;
}

json write_entries(const std::vector<quorum::log_entry>& entries) {
    json written = json::array();
    for (const quorum::log_entry& entry : entries) {
        written.push_back(
            json::array({entry.term.value(), write_bytes(entry.command), entry.change.has_value(),
                         entry.change ? write_membership(*entry.change) : json::array()}));
    }
    return written;
}

std::vector<quorum::log_entry> read_entries(field_reader& fields) {
    std::vector<quorum::log_entry> entries;
    fields.each([&](field_reader& one) {
        quorum::log_entry entry;
        entry.term = quorum::term_number(one.number());
        entry.command = one.binary();
        const bool has_change = one.boolean();
        const quorum::membership change = read_membership(one);
        if (has_change) {
            entry.change = change;
        }
        entries.push_back(std::move(entry));
    });
    return entries;
}

void write_quorum(json& fields, const quorum::message& said) {
    fields.push_back(static_cast<std::uint8_t>(said.index()));
    std::visit([&](const auto& alternative) { write(fields, alternative); }, said);
}

quorum::message read_quorum(field_reader& fields) {
    const auto number = static_cast<quorum_number>(
        fields.number_up_to(static_cast<std::uint8_t>(quorum_number::install_snapshot_response)));
    if (number == quorum_number::join_request) {
        return quorum::join_request{read_member(fields)};
    }
    const quorum::term_number term(fields.number());
    const quorum::member from = read_member(fields);
    switch (number) {
    case quorum_number::vote_request: {
        quorum::vote_request said{term, from, {}, {}, false};
        said.last_index = quorum::log_index(fields.number());
        said.last_term = quorum::term_number(fields.number());
        said.is_pre_vote = fields.boolean();
        return said;
    }
    case quorum_number::vote_response: {
        quorum::vote_response said{term, from, false, false};
        said.is_granted = fields.boolean();
        said.is_pre_vote = fields.boolean();
        return said;
    }
    case quorum_number::append_entries_request: {
        quorum::append_entries_request said{term, from, {}, {}, {}, {}};
        said.previous_index = quorum::log_index(fields.number());
        said.previous_term = quorum::term_number(fields.number());
        said.entries = read_entries(fields);
        said.committed = quorum::log_index(fields.number());
        return said;
    }
    case quorum_number::append_entries_response: {
        quorum::append_entries_response said{term, from, false, {}};
        said.is_taken = fields.boolean();
        said.match = quorum::log_index(fields.number());
        return said;
    }
    case quorum_number::install_snapshot_request: {
        quorum::install_snapshot_request said{term, from, {}, {}, {}, 0, 0, {}};
        said.index = quorum::log_index(fields.number());
        said.index_term = quorum::term_number(fields.number());
        said.voters = read_membership(fields);
        said.piece = fields.number();
        said.piece_count = fields.number();
        said.data = fields.binary();
        return said;
    }
    case quorum_number::install_snapshot_response: {
        quorum::install_snapshot_response said{term, from, {}, 0};
        said.index = quorum::log_index(fields.number());
        said.pieces_received = fields.number();
        return said;
    }
    case quorum_number::join_request:
        break;
    }
    return quorum::join_request{from};
}

} // namespace kingcupcart::wire
