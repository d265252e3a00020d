#include "http/tests/hand_server.h"
#include "http/tests/loopback_listener.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr duration bound = std::chrono::milliseconds(200);
/// Longer than the client's limit of silence several times over.
constexpr duration silent_time = std::chrono::milliseconds(1000);
const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";

/// A listener whose queue of connections is full, so that its kernel drops further attempts.
struct full_listener {
    loopback_listener listener = loopback_listener::open();
    std::vector<int> queued;

    full_listener() {
        listen(this->listener.socket, 0);
        for (int i = 0; i < 4; ++i) {
            this->queued.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(this->listener.bound.port);
            connect(this->queued.back(), reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address));
        }
    }
    ~full_listener() {
        for (const int opened : this->queued) {
            close(opened);
        }
        close(this->listener.socket);
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;
};

request make_upload(const endpoint& server) {
    request outgoing = make_request(server, "POST");
    // More than the buffers of both sockets hold.
    outgoing.body = std::string(64UL * 1024 * 1024, 'x');
    return outgoing;
}

} // namespace

// A connection that hung while it opened was noticed only at the request's deadline.
SCENARIO("a connection that hangs while it opens ends the call at its bound") {
    GIVEN("a host that answers no attempt to connect") {
        const full_listener server;
        const auto check_call = [&](raw_caller& caller, const request& outgoing) {
            const time_point begin = caller.time.now();
            caller.send(outgoing);
            const duration passed = caller.time.now() - begin;
            CHECK(caller.end == call_result::unreachable);
            CHECK(caller.reason == "connection not open after 200 ms");
            CHECK_FALSE(caller.has_write_started);
            CHECK_FALSE(caller.opening);
            CHECK(passed >= bound);
            CHECK(passed < bound + std::chrono::milliseconds(500));
        };
        WHEN("the client has the bound") {
            raw_caller caller(duration::zero(), bound);
            THEN("the call ends as unreachable, and nothing is written") {
                check_call(caller, make_request(server.listener.bound));
            }
        }
        WHEN("the request has a bound of its own") {
            raw_caller caller(duration::zero(), std::chrono::minutes(1));
            request outgoing = make_request(server.listener.bound);
            outgoing.open_timeout = bound;
            THEN("it counts in place of the client's") {
                check_call(caller, outgoing);
            }
        }
        WHEN("there is no bound") {
            raw_caller caller;
            caller.send(make_request(server.listener.bound), 3 * bound);
            THEN("the call goes on") {
                CHECK_FALSE(caller.end);
                CHECK_FALSE(caller.opening);
            }
        }
    }
    GIVEN("an address that refuses connections") {
        const loopback_listener listener = loopback_listener::open();
        close(listener.socket);
        raw_caller caller(duration::zero(), bound);
        caller.send(make_request(listener.bound));
        THEN("the call ends with the reason of the system") {
            CHECK(caller.end == call_result::unreachable);
            CHECK(caller.reason.find("refused") != std::string::npos);
        }
    }
    GIVEN("a server that is reached") {
        scripted_server server({{whole}, {whole}});
        raw_caller caller(duration::zero(), bound);
        caller.send(make_request(server.address()));
        THEN("the time that the connection took to open is reported") {
            CHECK(caller.end == call_result::complete);
            REQUIRE(caller.opening);
            CHECK(*caller.opening > duration::zero());
            CHECK(*caller.opening < bound);
            AND_WHEN("the next request uses the kept connection") {
                caller.send(make_request(server.address()));
                THEN("no opening is reported") {
                    CHECK(caller.end == call_result::complete);
                    CHECK_FALSE(caller.opening);
                }
            }
        }
    }
}

SCENARIO("a process that was held up sees that its connection has opened") {
    GIVEN("a connection that opens with the second packet, 1 s after the first") {
        hand_server server;
        server.lose_listener();
        raw_caller caller(duration::zero(), bound);
        task::wakeup hold([&] {
            server.regain_listener();
            std::this_thread::sleep_for(std::chrono::milliseconds(1500));
        });
        WHEN("the process runs again long after the bound") {
            hold.arm(caller.time.now() + bound / 4);
            caller.send(make_request(server.address()), silent_time + std::chrono::seconds(1));
            THEN("the request is written to the connection") {
                CHECK(caller.opening);
                CHECK(caller.has_write_started);
                CHECK_FALSE(caller.end);
                server.accept_connection();
                server.write(whole);
                caller.pause_for(std::chrono::seconds(5));
                CHECK(caller.end == call_result::complete);
            }
        }
    }
}

SCENARIO("a server is silent when its kernel does not acknowledge the request") {
    hand_server server;
    raw_caller caller;
    GIVEN("a long request on a new connection") {
        caller.send(make_upload(server.address()), std::chrono::milliseconds(100));
        server.accept_connection();
        WHEN("the path is lost in the middle of the request") {
            server.lose_connection();
            // The client learns of the room in the receive window, and its next bytes are lost.
            server.read(64UL * 1024 * 1024);
            caller.pause_for(silent_time);
            THEN("the call reports it once, and goes on") {
                CHECK(caller.silences == 1);
                CHECK_FALSE(caller.end);
            }
        }
    }
    GIVEN("a kept connection") {
        caller.send(make_request(server.address()), std::chrono::milliseconds(100));
        server.accept_connection();
        server.write(whole);
        caller.pause_for(std::chrono::seconds(5));
        REQUIRE(caller.end == call_result::complete);
        REQUIRE(caller.http_client->has_idle(server.address()));
        WHEN("the path was lost since its last use") {
            server.lose_connection();
            caller.send(make_request(server.address()), std::chrono::milliseconds(200));
            CHECK(caller.silences == 0);
            caller.pause_for(silent_time);
            THEN("the call reports it once, and goes on") {
                CHECK(caller.silences == 1);
                CHECK_FALSE(caller.opening);
                CHECK_FALSE(caller.end);
                AND_WHEN("the path is regained") {
                    server.regain_connection();
                    caller.pause_for(silent_time);
                    server.write(whole);
                    caller.pause_for(std::chrono::seconds(5));
                    THEN("the call is completed by the same connection") {
                        CHECK(caller.end == call_result::complete);
                        CHECK(caller.silences == 1);
                    }
                }
            }
        }
        WHEN("the server does not respond") {
            caller.send(make_request(server.address()), silent_time);
            THEN("it is not silent, since its kernel has acknowledged the request") {
                CHECK(caller.silences == 0);
                CHECK_FALSE(caller.end);
            }
        }
    }
    GIVEN("a server that accepts no connection") {
        caller.send(make_request(server.address()), silent_time);
        THEN("it is not silent") {
            CHECK(caller.opening);
            CHECK(caller.silences == 0);
        }
    }
    GIVEN("a server that reads nothing of a long request") {
        caller.send(make_upload(server.address()), 2 * silent_time);
        THEN("it is not silent: its kernel has no room for more") {
            CHECK(caller.silences == 0);
            CHECK_FALSE(caller.end);
        }
    }
    GIVEN("a server that reads a long request slowly") {
        caller.send(make_upload(server.address()), std::chrono::milliseconds(100));
        server.accept_connection();
        for (int i = 0; i < 10; ++i) {
            server.read(256UL * 1024);
            caller.pause_for(std::chrono::milliseconds(150));
        }
        THEN("it is not silent") {
            CHECK(caller.silences == 0);
            CHECK_FALSE(caller.end);
        }
    }
}

SCENARIO("the client tells whether it has kept connections, and closes them on demand") {
    scripted_server server({{whole}, {whole}});
    raw_caller caller;
    CHECK_FALSE(caller.http_client->has_idle(server.address()));
    caller.send(make_request(server.address()));
    REQUIRE(caller.end == call_result::complete);
    CHECK(caller.http_client->has_idle(server.address()));
    WHEN("they are closed") {
        caller.http_client->close_idle(server.address());
        CHECK_FALSE(caller.http_client->has_idle(server.address()));
        caller.send(make_request(server.address()));
        THEN("the next request opens a new one") {
            CHECK(caller.end == call_result::complete);
            CHECK(server.requests().back().connection == 2);
        }
    }
    WHEN("a request uses the only one") {
        caller.send(make_request(server.address()), duration::zero());
        THEN("there is none until it ends") {
            CHECK_FALSE(caller.http_client->has_idle(server.address()));
            caller.pause_for(std::chrono::seconds(5));
            CHECK(caller.http_client->has_idle(server.address()));
        }
    }
}
