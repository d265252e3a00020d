#include "task/event_loop.h"
#include "task/wakeup.h"
#include "wire/codec.h"
#include "wire/keeper_codec.h"
#include "wire/websocket_session.h"
#include "wire/listener.h"
#include "wire/peer_link.h"

#include <doctest/doctest.h>

#include <sys/socket.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::wire;

namespace {

hello sample_hello() {
    hello said;
    said.instance = instance_id("got-a1-entry-1");
    said.incarnation = incarnation_id(18446744073709551615U);
    said.place = location{failure_domain_id("got-a1"), region_id("got-a")};
    said.role = instance_role::keeper;
    said.address = endpoint{"127.0.0.1", 65535};
    said.known = {{instance_id("x"), endpoint{"127.0.0.2", 1}}};
    said.in_force = configuration_version(7);
    return said;
}

forward_call_request sample_call() {
    forward_call_request said;
    said.call = 3;
    said.key = idempotency_key("k\xff");
    said.service = backend_name("provbok");
    said.method = "POST";
    said.body = std::string("\0\xff binary", 9);
    return said;
}

quorum::append_entries_request sample_entries() {
    quorum::append_entries_request said;
    said.term = quorum::term_number(3);
    quorum::log_entry command;
    command.command = "c";
    quorum::log_entry change;
    change.change =
        quorum::membership{{{instance_id("k1"), quorum::disk_id(9)}}, instance_id("k1")};
    said.entries = {command, change};
    return said;
}

std::vector<message> samples() {
    target_update news;
    news.record.id = target_id("e1");
    news.record.slots = 16;
    news.record.leaving = true;
    return {sample_hello(),
            news,
            target_heartbeats{{{target_id("e1"), 3, 4}}},
            configuration_update{configuration_version(9), "[deployment]\n"},
            configuration_in_force{instance_id("x"), configuration_version(9)},
            sample_call(),
            forward_call_response{3, 200, "answered", "", {{"Content-Type", "text/plain"}}, "yes"},
            claim_request{1, idempotency_key("k"), instance_id("x"), incarnation_id(2)},
            claim_response{1, true, instance_id("x"), incarnation_id(2)},
            instance_update{{instance_id("x"), endpoint{"127.0.0.1", 1}}},
            consensus_message{sample_entries()},
            consensus_message{quorum::vote_request{}},
            consensus_message{quorum::vote_response{}},
            consensus_message{quorum::append_entries_response{}},
            consensus_message{quorum::install_snapshot_request{}},
            consensus_message{quorum::install_snapshot_response{}},
            consensus_message{quorum::join_request{}},
            forward_command{"c"}};
}

bool is_refused(const std::string& bytes) {
    return std::holds_alternative<error>(value_or_error([&] { return decode(bytes); }));
}

} // namespace

SCENARIO("each message survives the wire") {
    for (const message& sample : samples()) {
        CAPTURE(sample.index());
        const std::string bytes = encode(sample);
        const auto back = value_or_error([&] { return decode(bytes); });
        REQUIRE(std::holds_alternative<message>(back));
        CHECK(std::get<message>(back).index() == sample.index());
        CHECK(encode(std::get<message>(back)) == bytes);
        WHEN("it is cut short anywhere") {
            THEN("it is refused") {
                for (std::size_t length = 0; length < bytes.size(); ++length) {
                    CHECK(is_refused(bytes.substr(0, length)));
                }
            }
        }
    }
}

SCENARIO("what keepers keep survives its encoding") {
    replicated::replicated_state state;
    state.apply(replicated::accept_configuration{"o", {}, "text", std::chrono::seconds(5)});
    state.apply(replicated::claim_key{idempotency_key("k"), instance_id("e1"), incarnation_id(7),
                                      std::chrono::seconds(6)});
    const std::string saved = encode_state(state.save());
    const auto restored = value_or_error([&] { return decode_state(saved); });
    REQUIRE(std::holds_alternative<replicated::replicated_state::content>(restored));
    CHECK(encode_state(std::get<replicated::replicated_state::content>(restored)) == saved);
    const std::vector<journal_record> records{
        disk_identity{quorum::disk_id(5)},
        quorum::persist_vote{quorum::term_number(2), instance_id("k1")},
        quorum::persist_entries{quorum::log_index(1), sample_entries().entries},
        snapshot_header{quorum::log_index(4), quorum::term_number(2), {}}, snapshot_piece{saved}};
    for (const journal_record& record : records) {
        const std::string bytes = encode_record(record);
        const auto back = value_or_error([&] { return decode_record(bytes); });
        REQUIRE(std::holds_alternative<journal_record>(back));
        CHECK(encode_record(std::get<journal_record>(back)) == bytes);
    }
    const replicated::logged_command claim{
        {instance_id("k1"), incarnation_id(3), 4},
        replicated::claim_key{idempotency_key("k"), instance_id("e1"), incarnation_id(7),
                              std::chrono::seconds(6)}};
    const auto command = value_or_error([&] { return decode_command(encode_command(claim)); });
    REQUIRE(std::holds_alternative<replicated::logged_command>(command));
    CHECK(encode_command(std::get<replicated::logged_command>(command)) == encode_command(claim));
}

SCENARIO("bytes that are no message are refused, whatever they are") {
    CHECK(is_refused(""));
    CHECK(is_refused("\xff\xff\xff"));
    CHECK(is_refused("GET / HTTP/1.1"));
    CHECK(is_refused(std::string(1000000, '\x81')));
    std::mt19937_64 random(4);
    for (const message& sample : samples()) {
        for (int i = 0; i < 2000; ++i) {
            std::string bytes = encode(sample);
            bytes[random() % bytes.size()] = static_cast<char>(random());
            // Either refused or a message: never a crash, never an exception.
            static_cast<void>(is_refused(bytes));
        }
    }
}

SCENARIO("two engines shake hands without a socket") {
    std::string to_server;
    std::string to_client;
    std::vector<std::string> got;
    bool is_open = false;
    link_engine client(link_engine::side::client, "127.0.0.1:1",
                       {[&](const char* data, std::size_t size) { to_server.append(data, size); },
                        [&] { is_open = true; }, [](const std::string&) {},
                        [](const std::string&) {}});
    link_engine server(link_engine::side::server, "",
                       {[&](const char* data, std::size_t size) { to_client.append(data, size); },
                        [] {}, [&](const std::string& bytes) { got.push_back(bytes); },
                        [](const std::string&) {}});
    const auto exchange = [&] {
        while (!to_server.empty() || !to_client.empty()) {
            const std::string up = std::exchange(to_server, {});
            server.read(up.data(), up.size());
            const std::string down = std::exchange(to_client, {});
            client.read(down.data(), down.size());
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
    REQUIRE(got.size() == 2);
    CHECK(got[0] == "one");
    CHECK(got[1].size() == 300000);
}

SCENARIO("two instances are linked over loopback") {
    task::event_loop loop;
    loop.enter();
    {
        std::unique_ptr<peer_link> accepted;
        std::unique_ptr<peer_link> dialled;
        std::vector<message> at_server;
        std::string server_end;
        bool timed_out = false;
        task::wakeup limit([&] {
            timed_out = true;
            loop.quit();
        });
        limit.arm(std::chrono::steady_clock::now() + std::chrono::seconds(20));
        auto opened = value_or_error([&] {
            return listener::open(endpoint{"127.0.0.1", 0}, [&](GSocketConnection* connection) {
                accepted = peer_link::accept(connection, {[] {},
                                                          [&](message said) {
                                                              at_server.push_back(std::move(said));
                                                              loop.quit();
                                                          },
                                                          [&](const std::string& reason) {
                                                              server_end = reason;
                                                              loop.quit();
                                                          }});
            });
        });
        REQUIRE(std::holds_alternative<std::unique_ptr<listener>>(opened));
        const endpoint address = std::get<std::unique_ptr<listener>>(opened)->address();
        CHECK(address.port != 0);
        GIVEN("a peer that speaks the protocol") {
            dialled = peer_link::dial(address, {[&] { dialled->send(sample_hello()); },
                                                [](message) {}, [](const std::string&) {}});
            loop.run();
            REQUIRE(at_server.size() == 1);
            CHECK(std::get<hello>(at_server[0]).instance == instance_id("got-a1-entry-1"));
            WHEN("it goes") {
                dialled.reset();
                loop.run();
                THEN("the other side is told") {
                    CHECK_FALSE(server_end.empty());
                }
            }
        }
        GIVEN("a peer that speaks something else") {
            const int raw = socket(AF_INET, SOCK_STREAM, 0);
            GSocketAddress* to =
                g_inet_socket_address_new_from_string(address.address.c_str(), address.port);
            GSocket* stranger = g_socket_new_from_fd(raw, nullptr);
            REQUIRE(g_socket_connect(stranger, to, nullptr, nullptr) != FALSE);
            const std::string noise = "SSH-2.0-something\r\n\r\n\r\n";
            g_socket_send(stranger, noise.data(), noise.size(), nullptr, nullptr);
            loop.run();
            THEN("it is dropped with a reason, and nothing of it is delivered") {
                CHECK_FALSE(server_end.empty());
                CHECK(at_server.empty());
            }
            g_object_unref(stranger);
            g_object_unref(to);
        }
        GIVEN("nobody at the address") {
            std::string reason;
            std::get<std::unique_ptr<listener>>(opened).reset();
            dialled = peer_link::dial(address, {[] {}, [](message) {},
                                                [&](const std::string& why) {
                                                    reason = why;
                                                    loop.quit();
                                                }});
            loop.run();
            CHECK(reason.find("refused") != std::string::npos);
        }
        CHECK_FALSE(timed_out);
    }
    loop.leave();
}
