#include "wire/internal/quorum_fields.h"

#include <limits>
#include <utility>

namespace kingcupcart::wire {

namespace {

using nlohmann::json;

void write_member(json& fields, const quorum::member& member) {
    fields.push_back(member.id.value());
    fields.push_back(member.disk.value());
}

/// In nanoseconds of the sender's clock.
void write_time(json& fields, time_point moment) {
    fields.push_back(static_cast<std::uint64_t>(moment.time_since_epoch().count()));
}

time_point read_time(field_reader& fields) {
    const std::uint64_t nanoseconds =
        fields.number_up_to(static_cast<std::uint64_t>(std::numeric_limits<duration::rep>::max()));
    return time_point(duration(static_cast<duration::rep>(nanoseconds)));
}

quorum::member read_member(field_reader& fields) {
    quorum::member member;
    member.id = instance_id(fields.text());
    member.disk = quorum::disk_id(fields.number());
    return member;
}

/// The numbers of consensus messages on the wire, which are the indices of the alternatives of
/// `quorum::message`.
enum class quorum_message_number : std::uint8_t {
    vote_request,
    vote_response,
    append_entries_request,
    append_entries_response,
    install_snapshot_request,
    join_request,
    install_snapshot_response,
    resignation
};

void write(json& fields, const quorum::vote_request& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.candidate);
    fields.push_back(outgoing.last_index.value());
    fields.push_back(outgoing.last_term.value());
    fields.push_back(outgoing.is_pre_vote);
}

void write(json& fields, const quorum::vote_response& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.voter);
    fields.push_back(outgoing.is_granted);
    fields.push_back(outgoing.is_pre_vote);
}

void write(json& fields, const quorum::append_entries_request& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.leader);
    fields.push_back(outgoing.previous_index.value());
    fields.push_back(outgoing.previous_term.value());
    fields.push_back(write_entries(outgoing.entries));
    fields.push_back(outgoing.committed.value());
    write_time(fields, outgoing.sent_at);
}

void write(json& fields, const quorum::append_entries_response& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.follower);
    fields.push_back(outgoing.is_accepted);
    fields.push_back(outgoing.match.value());
    write_time(fields, outgoing.request_sent_at);
}

void write(json& fields, const quorum::install_snapshot_request& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.leader);
    fields.push_back(outgoing.index.value());
    fields.push_back(outgoing.index_term.value());
    fields.push_back(write_membership(outgoing.voters));
    fields.push_back(outgoing.piece);
    fields.push_back(outgoing.piece_count);
    fields.push_back(write_bytes(outgoing.data));
    write_time(fields, outgoing.sent_at);
}

void write(json& fields, const quorum::install_snapshot_response& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.follower);
    fields.push_back(outgoing.index.value());
    fields.push_back(outgoing.pieces_received);
    write_time(fields, outgoing.request_sent_at);
}

void write(json& fields, const quorum::resignation& outgoing) {
    fields.push_back(outgoing.term.value());
    write_member(fields, outgoing.leader);
    fields.push_back(outgoing.successor.value());
}

void write(json& fields, const quorum::join_request& outgoing) {
    write_member(fields, outgoing.joining);
}

} // namespace

json write_bytes(const std::string& content) {
    return json::binary(std::vector<std::uint8_t>(content.begin(), content.end()));
}

/// Writes an array that holds the membership; an empty array stands for none.
json write_membership(const quorum::membership& voters) {
    json members = json::array();
    for (const quorum::member& voter : voters.voters) {
        json fields = json::array();
        write_member(fields, voter);
        members.push_back(std::move(fields));
    }
    return json::array({json::array({std::move(members), voters.joining.value()})});
}

quorum::membership read_membership(field_reader& fields) {
    quorum::membership decoded;
    fields.for_each([&](field_reader& membership) {
        membership.for_each(
            [&](field_reader& voter) { decoded.voters.push_back(read_member(voter)); });
        decoded.joining = instance_id(membership.text());
    });
    return decoded;
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
    fields.for_each([&](field_reader& element) {
        quorum::log_entry entry;
        entry.term = quorum::term_number(element.number());
        entry.command = element.binary();
        const bool has_change = element.boolean();
        const quorum::membership change = read_membership(element);
        if (has_change) {
            entry.change = change;
        }
        entries.push_back(std::move(entry));
    });
    return entries;
}

void write_quorum_message(json& fields, const quorum::message& outgoing) {
    fields.push_back(static_cast<std::uint8_t>(outgoing.index()));
    std::visit([&](const auto& alternative) { write(fields, alternative); }, outgoing);
}

quorum::message read_quorum_message(field_reader& fields) {
    const auto number = static_cast<quorum_message_number>(
        fields.number_up_to(static_cast<std::uint8_t>(quorum_message_number::resignation)));
    if (number == quorum_message_number::join_request) {
        return quorum::join_request{read_member(fields)};
    }
    const quorum::term_number term(fields.number());
    const quorum::member sender = read_member(fields);
    switch (number) {
    case quorum_message_number::vote_request: {
        quorum::vote_request incoming{term, sender, {}, {}, false};
        incoming.last_index = quorum::log_index(fields.number());
        incoming.last_term = quorum::term_number(fields.number());
        incoming.is_pre_vote = fields.boolean();
        return incoming;
    }
    case quorum_message_number::vote_response: {
        quorum::vote_response incoming{term, sender, false, false};
        incoming.is_granted = fields.boolean();
        incoming.is_pre_vote = fields.boolean();
        return incoming;
    }
    case quorum_message_number::append_entries_request: {
        quorum::append_entries_request incoming{term, sender, {}, {}, {}, {}, {}};
        incoming.previous_index = quorum::log_index(fields.number());
        incoming.previous_term = quorum::term_number(fields.number());
        incoming.entries = read_entries(fields);
        incoming.committed = quorum::log_index(fields.number());
        incoming.sent_at = read_time(fields);
        return incoming;
    }
    case quorum_message_number::append_entries_response: {
        quorum::append_entries_response incoming{term, sender, false, {}, {}};
        incoming.is_accepted = fields.boolean();
        incoming.match = quorum::log_index(fields.number());
        incoming.request_sent_at = read_time(fields);
        return incoming;
    }
    case quorum_message_number::install_snapshot_request: {
        quorum::install_snapshot_request incoming{term, sender, {}, {}, {}, 0, 0, {}, {}};
        incoming.index = quorum::log_index(fields.number());
        incoming.index_term = quorum::term_number(fields.number());
        incoming.voters = read_membership(fields);
        incoming.piece = fields.number();
        incoming.piece_count = fields.number();
        incoming.data = fields.binary();
        incoming.sent_at = read_time(fields);
        return incoming;
    }
    case quorum_message_number::install_snapshot_response: {
        quorum::install_snapshot_response incoming{term, sender, {}, 0, {}};
        incoming.index = quorum::log_index(fields.number());
        incoming.pieces_received = fields.number();
        incoming.request_sent_at = read_time(fields);
        return incoming;
    }
    case quorum_message_number::resignation:
        return quorum::resignation{term, sender, instance_id(fields.text())};
    case quorum_message_number::join_request:
        break;
    }
    return quorum::join_request{sender};
}

} // namespace kingcupcart::wire
