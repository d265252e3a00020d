#include "task/event_loop.h"
#include "task/wakeup.h"
#include "wire/codec.h"
#include "wire/listener.h"
#include "wire/peer_link.h"
#include "wire/storage_codec.h"
#include "wire/websocket_session.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::wire;

namespace {

hello example_hello() {
    hello example;
    example.instance = instance_id("got-a1-entry-1");
    example.incarnation = incarnation_id(18446744073709551615U);
    example.place = location{failure_domain_id("got-a1"), region_id("got-a")};
    example.role = instance_role::keeper;
    example.address = endpoint{"127.0.0.1", 65535};
    example.known = {{instance_id("x"), endpoint{"127.0.0.2", 1}}};
    example.in_force = configuration_version(7);
    example.revision = 3;
    return example;
}

forward_call_request example_call() {
    forward_call_request example;
    example.call = 3;
    example.key = idempotency_key("k\xff");
    example.service = backend_name("provbok");
    example.method = "POST";
    example.body = std::string("\0\xff binary", 9);
    return example;
}

quorum::append_entries_request example_append_entries() {
    quorum::append_entries_request example;
    example.term = quorum::term_number(3);
    quorum::log_entry command;
    command.command = "c";
    quorum::log_entry change;
    change.change =
        quorum::membership{{{instance_id("k1"), quorum::disk_id(9)}}, instance_id("k1")};
    example.entries = {command, change};
    return example;
}

constexpr request_fingerprint example_fingerprint(0xfedcba9876543210, 0x8000000000000001);

quarantine::crash_record example_crash() {
    return {target_id("e1"), incarnation_id(7), quarantine::crash_status::proven, true,
            std::chrono::milliseconds(40)};
}

quarantine::suspect_update example_suspect() {
    return {example_fingerprint,
            quarantine::suspect_state::quarantined,
            3,
            {example_crash(), example_crash()},
            2,
            std::chrono::seconds(1),
            std::chrono::seconds(29),
            std::chrono::seconds(3)};
}

streams::stream_record example_stream() {
    return {streams::stream_id("attempt"), backend_name("chat"), software_version("v1"),
            std::chrono::seconds(45), std::chrono::milliseconds(40)};
}

relayed_call_request example_relayed_call() {
    return {6,
            "attempt",
            "shop",
            "POST",
            "/b/1?x=2",
            {{"X-Request-Id", "attempt"}},
            std::string("\0body", 5),
            std::chrono::milliseconds(700),
            3,
            streams::stream_id("earlier"),
            backend_name("chat"),
            software_version("v1"),
            2,
            account_name("north")};
}

std::vector<message> example_messages() {
    target_update target;
    target.record.id = target_id("e1");
    target.record.slots = 16;
    target.record.leaving = true;
    target.record.software = software_version("v2");
    target.record.weights = {{model_name("m"), weight_version(3)}};
    target.record.spot = true;
    target.record.leaves_after = std::chrono::milliseconds(2500);
    return {
        example_hello(),
        target,
        target_heartbeats{{{target_id("e1"), 3, 4}}},
        configuration_update{configuration_version(9), "[deployment]\n"},
        configuration_in_force{instance_id("x"), configuration_version(9)},
        example_call(),
        forward_call_response{3, 200, "answered", "", {{"Content-Type", "text/plain"}}, "yes"},
        claim_request{1, idempotency_key("k"), instance_id("x"), incarnation_id(2)},
        claim_response{1, true, instance_id("x"), incarnation_id(2)},
        instance_update{{instance_id("x"), endpoint{"127.0.0.1", 1}}},
        consensus_message{example_append_entries()},
        consensus_message{quorum::vote_request{}},
        consensus_message{quorum::vote_response{}},
        consensus_message{quorum::append_entries_response{}},
        consensus_message{quorum::install_snapshot_request{}},
        consensus_message{quorum::install_snapshot_response{}},
        consensus_message{quorum::join_request{}},
        consensus_message{quorum::resignation{}},
        forward_command{"c"},
        leader_update{endpoint{"127.0.0.1", 1}, quorum::term_number(7)},
        run_item_request{
            batch::run_id(4), job_id("j"), "shop", target_id("e"), 2, weight_version(3), true, {}},
        cancel_item_run{batch::run_id(4)},
        item_run_updates{
            {{batch::run_id(4), item_run_status::completed, 5, "text", {weight_version(3)}}}},
        target_leaving{target_id("e1"), incarnation_id(7)},
        limit_report{target_id("e1"), incarnation_id(7), 1500000, std::chrono::milliseconds(40)},
        permit_demands{{{target_id("e1"), incarnation_id(7), 3, 2, 1}}},
        permit_grants{
            {{target_id("e1"), incarnation_id(7), 3, 2, std::chrono::milliseconds(40), 9}}},
        quarantine::crash_report{example_fingerprint, example_crash()},
        quarantine::completion_report{example_fingerprint, std::chrono::milliseconds(40)},
        quarantine::trial_demand{example_fingerprint, 3, true},
        quarantine::trial_end{example_fingerprint, 3, quarantine::trial_outcome::crashed},
        quarantine::copy_report{example_fingerprint, 2},
        example_suspect(),
        quarantine::suspect_update{},
        quarantine::trial_decision{example_fingerprint, 3, quarantine::trial_verdict::refused,
                                   std::chrono::seconds(2)},
        stream_record_updates{{example_stream()}},
        stream_record_updates{{{streams::stream_id("a"), backend_name("b"), std::nullopt, {}, {}}}},
        stream_lookup_request{4, streams::stream_id("attempt")},
        stream_lookup_response{4, example_stream()},
        stream_lookup_response{5, std::nullopt},
        relay_lookup_request{4, backend_name("chat")},
        relay_lookup_response{4,
                              {{instance_id("g"),
                                endpoint{"127.0.0.1", 1},
                                {failure_domain_id("a"), region_id("r")}}}},
        reach_report{{backend_name("chat"), backend_name("app")}},
        example_relayed_call(),
        relayed_response_head{6, 200, "text/plain", {{"X-Stamp", "s"}}, true},
        relayed_response_data{6, std::string("\0event", 6)},
        relayed_response_end{6},
        relayed_call_failure{6, false, "full", std::chrono::milliseconds(40), true},
        relayed_call_cancel{6},
        relayed_data_taken{6, 6},
        relay_stopping{},
        usage_update{1767225600000, {{353445120, {{account_name("a"), 3}}}, {353445121, {}}}},
        model_demand_report{4,
                            {{backend_name("llm"), model_name("m"), 41000, 144, 3,
                              std::chrono::milliseconds(800), 2}}}};
}

/// Number of fields of the first item in the encoding of a submission with two items.
std::size_t count_item_fields(const std::string& submission) {
    for (const auto& field : nlohmann::json::from_cbor(submission)) {
        if (field.is_array() && field.size() == 2 && field[0].is_array()) {
            return field[0].size();
        }
    }
    return 0;
}

bool is_rejected(const std::string& bytes) {
    return std::holds_alternative<error>(value_or_error([&] { return decode(bytes); }));
}

} // namespace

SCENARIO("each message keeps its content when it is encoded and decoded") {
    for (const message& example : example_messages()) {
        CAPTURE(example.index());
        const std::string bytes = encode(example);
        const auto decoded = value_or_error([&] { return decode(bytes); });
        REQUIRE(std::holds_alternative<message>(decoded));
        CHECK(std::get<message>(decoded).index() == example.index());
        CHECK(encode(std::get<message>(decoded)) == bytes);
        WHEN("its encoding is truncated at any position") {
            THEN("it is rejected") {
                for (std::size_t length = 0; length < bytes.size(); ++length) {
                    CHECK(is_rejected(bytes.substr(0, length)));
                }
            }
        }
    }
}

// An earlier build closes a link on which a record with a field that it does not know arrives.
SCENARIO("a record of a spot target has the form that earlier builds read") {
    target_update usual;
    usual.record.weights = {{model_name("m"), weight_version(3)}};
    target_update spot = usual;
    spot.record.spot = true;
    spot.record.leaves_after = std::chrono::milliseconds(2500);
    const auto usual_fields = nlohmann::json::from_cbor(encode(usual));
    const auto spot_fields = nlohmann::json::from_cbor(encode(spot));
    REQUIRE(spot_fields.size() == usual_fields.size());
    std::size_t differing = 0;
    for (std::size_t i = 0; i < usual_fields.size(); ++i) {
        CHECK(spot_fields[i].type() == usual_fields[i].type());
        differing += spot_fields[i] == usual_fields[i] ? 0 : 1;
    }
    CHECK(differing == 1);
    const auto decoded = value_or_error([&] { return decode(encode(spot)); });
    REQUIRE(std::holds_alternative<message>(decoded));
    const auto& record = std::get<target_update>(std::get<message>(decoded)).record;
    CHECK(record.spot);
    CHECK(record.leaves_after == spot.record.leaves_after);
    CHECK(record.weights == usual.record.weights);
}

// An instance passed on any status that another one had accepted from its target.
SCENARIO("a response with a status that is none is rejected") {
    for (const int status : {-1, 1, 99, 600, 999, 1000, 65736}) {
        CAPTURE(status);
        CHECK(is_rejected(encode(forward_call_response{3, status, "answered", "", {}, "no"})));
        CHECK(is_rejected(encode(relayed_response_head{6, status, "text/plain", {}, false})));
    }
    for (const int status : {100, 200, 404, 599}) {
        CAPTURE(status);
        CHECK_FALSE(is_rejected(encode(forward_call_response{3, status, "answered", "", {}, ""})));
        CHECK_FALSE(is_rejected(encode(relayed_response_head{6, status, "", {}, true})));
    }
    GIVEN("no status") {
        THEN(
            "it is rejected in the head of a response, but a forwarded call may have no response") {
            CHECK(is_rejected(encode(relayed_response_head{6, 0, "text/plain", {}, false})));
            CHECK_FALSE(is_rejected(encode(forward_call_response{3, 0, "not-run", "", {}, ""})));
        }
    }
}

SCENARIO("a relayed call arrives as it was sent") {
    const auto decoded = value_or_error([] { return decode(encode(example_relayed_call())); });
    REQUIRE(std::holds_alternative<message>(decoded));
    const auto& call = std::get<relayed_call_request>(std::get<message>(decoded));
    CHECK(call.name == "attempt");
    CHECK(call.path == "/b/1?x=2");
    CHECK(call.headers == example_relayed_call().headers);
    CHECK(call.body == example_relayed_call().body);
    CHECK(call.max_attempts == 2);
    CHECK(call.max_wait == std::chrono::milliseconds(700));
    CHECK(call.resume_after == 3);
    CHECK(call.resumes == streams::stream_id("earlier"));
    CHECK(call.backend == backend_name("chat"));
    CHECK(call.software == software_version("v1"));
    CHECK(call.account == account_name("north"));
}

SCENARIO("what is known of a request that crashes its targets arrives as it was sent") {
    const auto decoded = value_or_error([] { return decode(encode(example_suspect())); });
    REQUIRE(std::holds_alternative<message>(decoded));
    const auto& update = std::get<quarantine::suspect_update>(std::get<message>(decoded));
    CHECK(update.fingerprint == example_fingerprint);
    CHECK(update.state == quarantine::suspect_state::quarantined);
    CHECK(update.crashes == 3);
    REQUIRE(update.latest.size() == 2);
    CHECK(update.latest[1].target == target_id("e1"));
    CHECK(update.latest[1].incarnation == incarnation_id(7));
    CHECK(update.latest[1].status == quarantine::crash_status::proven);
    CHECK(update.latest[1].is_trial);
    CHECK(update.latest[1].age == std::chrono::milliseconds(40));
    CHECK(update.late_trials == 2);
    CHECK(update.last_trial_age == std::chrono::seconds(1));
    CHECK(update.next_trial_in == std::chrono::seconds(29));
    CHECK(update.answered_age == std::chrono::seconds(3));
}

SCENARIO("the record of a stream arrives as it was sent") {
    const auto decode_example = [](const std::optional<streams::stream_record>& record) {
        const auto decoded = value_or_error([&] {
            return decode(encode(stream_lookup_response{4, record}));
        });
        return std::get<stream_lookup_response>(std::get<message>(decoded)).record;
    };
    streams::stream_record withdrawn = example_stream();
    withdrawn.software.reset();
    CHECK(decode_example(example_stream()) == example_stream());
    CHECK(decode_example(withdrawn) == withdrawn);
    CHECK(!decode_example(std::nullopt));
}

// Guards against a snapshot that an earlier build can't read although nothing of it is new: keepers
// are replaced one after the other.
SCENARIO("a snapshot holds usage only once usage was committed") {
    constexpr std::size_t fields_before_usage = 9;
    replicated::replicated_state state;
    const auto count_fields = [&] {
        return nlohmann::json::from_cbor(encode_state(state.save())).size();
    };
    CHECK(count_fields() == fields_before_usage);
    state.apply(replicated::commit_usage{7, {{account_name("a"), 3}}, 5});
    CHECK(count_fields() > fields_before_usage);
    const auto decoded = value_or_error([&] { return decode_state(encode_state(state.save())); });
    REQUIRE(std::holds_alternative<replicated::replicated_state::content>(decoded));
    CHECK(std::get<replicated::replicated_state::content>(decoded).usage == state.usage());

    const replicated::logged_command command{
        {instance_id("k"), incarnation_id(1), 2},
        replicated::commit_usage{7, {{account_name("a"), 3}}, 5}};
    const auto read = value_or_error([&] { return decode_command(encode_command(command)); });
    REQUIRE(std::holds_alternative<replicated::logged_command>(read));
    CHECK(encode_command(std::get<replicated::logged_command>(read)) == encode_command(command));
}

SCENARIO(
    "journal records, commands and states keep their content when they are encoded and decoded") {
    replicated::replicated_state state;
    state.apply(replicated::accept_configuration{"o", {}, "text", std::chrono::seconds(5)});
    state.apply(replicated::claim_key{idempotency_key("k"), instance_id("e1"), incarnation_id(7),
                                      std::chrono::seconds(6)});
    const std::string encoded_state = encode_state(state.save());
    const auto decoded_state = value_or_error([&] { return decode_state(encoded_state); });
    REQUIRE(std::holds_alternative<replicated::replicated_state::content>(decoded_state));
    CHECK(encode_state(std::get<replicated::replicated_state::content>(decoded_state)) ==
          encoded_state);
    const std::vector<journal_record> records{
        disk_identity{quorum::disk_id(5)},
        quorum::persist_vote{quorum::term_number(2), instance_id("k1")},
        quorum::persist_entries{quorum::log_index(1), example_append_entries().entries},
        snapshot_header{quorum::log_index(4), quorum::term_number(2), {}},
        snapshot_piece{encoded_state}};
    for (const journal_record& record : records) {
        const std::string bytes = encode_record(record);
        const auto decoded = value_or_error([&] { return decode_record(bytes); });
        REQUIRE(std::holds_alternative<journal_record>(decoded));
        CHECK(encode_record(std::get<journal_record>(decoded)) == bytes);
    }
    const replicated::logged_command claim{
        {instance_id("k1"), incarnation_id(3), 4},
        replicated::claim_key{idempotency_key("k"), instance_id("e1"), incarnation_id(7),
                              std::chrono::seconds(6)}};
    const auto command = value_or_error([&] { return decode_command(encode_command(claim)); });
    REQUIRE(std::holds_alternative<replicated::logged_command>(command));
    CHECK(encode_command(std::get<replicated::logged_command>(command)) == encode_command(claim));
}

SCENARIO("scores are optional fields of stored jobs and results") {
    batch::submit_job submission;
    submission.content.id = job_id("j");
    submission.content.items.resize(2);
    submission.content.items[0].id = item_id("a");
    submission.content.items[1].id = item_id("b");
    const std::string without_scorer = encode_command(batch_command{{}, submission});
    const auto decode_submission = [](const std::string& bytes) {
        const auto decoded = value_or_error([&] { return decode_batch_command(bytes); });
        REQUIRE(std::holds_alternative<batch_command>(decoded));
        return std::get<batch::submit_job>(std::get<batch_command>(decoded).content);
    };
    GIVEN("a job of which one item has a scorer") {
        submission.content.items[0].scorer = batch::score_request{"s", "shop", "/grade", "body"};
        const std::string bytes = encode_command(batch_command{{}, submission});
        THEN("the scorer is kept, and the other item has none") {
            const auto decoded = decode_submission(bytes);
            CHECK(decoded.content.items[0].scorer == submission.content.items[0].scorer);
            CHECK_FALSE(decoded.content.items[1].scorer);
        }
    }
    GIVEN("a job without scorers, as earlier versions stored it") {
        THEN("it is encoded as before, and decoded") {
            CHECK(count_item_fields(without_scorer) == 8);
            CHECK(decode_submission(without_scorer).content.items.size() == 2);
        }
    }
}

SCENARIO("the term of a reported leader is an optional field") {
    GIVEN("the encoding of earlier versions, without a term") {
        const std::string bytes = encode(leader_update{endpoint{"127.0.0.1", 1}, std::nullopt});
        CHECK(nlohmann::json::from_cbor(bytes).size() == 3);
        THEN("the leader is read, and no term") {
            const auto decoded = value_or_error([&] { return decode(bytes); });
            REQUIRE(std::holds_alternative<message>(decoded));
            const auto& update = std::get<leader_update>(std::get<message>(decoded));
            CHECK(update.leader == endpoint{"127.0.0.1", 1});
            CHECK_FALSE(update.term);
        }
    }
}

SCENARIO("bytes that are not a message are rejected, whatever they are") {
    CHECK(is_rejected(""));
    CHECK(is_rejected("\xff\xff\xff"));
    CHECK(is_rejected("GET / HTTP/1.1"));
    CHECK(is_rejected(std::string(1000000, '\x81')));
    std::mt19937_64 random(4);
    for (const message& example : example_messages()) {
        for (int i = 0; i < 2000; ++i) {
            std::string bytes = encode(example);
            bytes[random() % bytes.size()] = static_cast<char>(random());
            // A changed byte yields another message or an error, never a crash or an exception.
            static_cast<void>(is_rejected(bytes));
        }
    }
}

SCENARIO("a client and a server session exchange messages without a socket") {
    std::string to_server;
    std::string to_client;
    std::vector<std::string> received_by_server;
    bool is_open = false;
    websocket_session client(
        websocket_session::side::client, "127.0.0.1:1",
        {[&](const char* data, std::size_t size) { to_server.append(data, size); },
         [&] { is_open = true; }, [](const std::string&) {}, [](const std::string&) {}});
    websocket_session server(
        websocket_session::side::server, "",
        {[&](const char* data, std::size_t size) { to_client.append(data, size); }, [] {},
         [&](const std::string& bytes) { received_by_server.push_back(bytes); },
         [](const std::string&) {}});
    const auto exchange = [&] {
        while (!to_server.empty() || !to_client.empty()) {
            const std::string from_client = std::exchange(to_server, {});
            server.read(from_client.data(), from_client.size());
            const std::string from_server = std::exchange(to_client, {});
            client.read(from_server.data(), from_server.size());
        }
    };
    CHECK_FALSE(client.send("too early"));
    server.start();
    client.start();
    exchange();
    CHECK(is_open);
    CHECK(client.send("one"));
    CHECK(client.send(std::string(300000, 'x')));
    exchange();
    REQUIRE(received_by_server.size() == 2);
    CHECK(received_by_server[0] == "one");
    CHECK(received_by_server[1].size() == 300000);
}

SCENARIO("a link connects two instances over loopback") {
    task::event_loop loop;
    loop.enter();
    {
        std::unique_ptr<peer_link> accepted;
        std::unique_ptr<peer_link> dialled;
        std::vector<message> received_by_server;
        std::string server_close_reason;
        bool timed_out = false;
        task::wakeup time_limit([&] {
            timed_out = true;
            loop.quit();
        });
        time_limit.arm(std::chrono::steady_clock::now() + std::chrono::seconds(20));
        auto opened = value_or_error([&] {
            return listener::open(endpoint{"127.0.0.1", 0}, [&](GSocketConnection* connection) {
                accepted = peer_link::accept(connection,
                                             {[] {},
                                              [&](message incoming) {
                                                  received_by_server.push_back(std::move(incoming));
                                                  loop.quit();
                                              },
                                              [&](const std::string& reason) {
                                                  server_close_reason = reason;
                                                  loop.quit();
                                              }});
            });
        });
        REQUIRE(std::holds_alternative<std::unique_ptr<listener>>(opened));
        const endpoint address = std::get<std::unique_ptr<listener>>(opened)->address();
        CHECK(address.port != 0);
        GIVEN("a peer that uses the protocol") {
            dialled = peer_link::dial(address, {[&] { dialled->send(example_hello()); },
                                                [](message) {}, [](const std::string&) {}});
            loop.run();
            REQUIRE(received_by_server.size() == 1);
            CHECK(std::get<hello>(received_by_server[0]).instance == instance_id("got-a1-entry-1"));
            WHEN("it destroys its link") {
                dialled.reset();
                loop.run();
                THEN("the other side is notified with a reason") {
                    CHECK_FALSE(server_close_reason.empty());
                }
            }
        }
        GIVEN("a peer that sends bytes of another protocol") {
            const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
            GSocketAddress* server_address =
                g_inet_socket_address_new_from_string(address.address.c_str(), address.port);
            GSocket* foreign_socket = g_socket_new_from_fd(descriptor, nullptr);
            REQUIRE(g_socket_connect(foreign_socket, server_address, nullptr, nullptr) != FALSE);
            const std::string foreign_bytes = "SSH-2.0-something\r\n\r\n\r\n";
            g_socket_send(foreign_socket, foreign_bytes.data(), foreign_bytes.size(), nullptr,
                          nullptr);
            loop.run();
            THEN("its link is closed with a reason, and no message is delivered") {
                CHECK_FALSE(server_close_reason.empty());
                CHECK(received_by_server.empty());
            }
            g_object_unref(foreign_socket);
            g_object_unref(server_address);
        }
        GIVEN("an address on which no instance listens") {
            std::string client_close_reason;
            std::get<std::unique_ptr<listener>>(opened).reset();
            dialled = peer_link::dial(address, {[] {}, [](message) {},
                                                [&](const std::string& reason) {
                                                    client_close_reason = reason;
                                                    loop.quit();
                                                }});
            loop.run();
            CHECK(client_close_reason.find("refused") != std::string::npos);
        }
        CHECK_FALSE(timed_out);
    }
    loop.leave();
}
