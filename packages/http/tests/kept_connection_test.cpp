#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

using ending = scripted_reply::ending;

const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const scripted_reply whole{ok_head + "Content-Length: 5\r\n\r\nfirst"};
const scripted_reply second{ok_head + "Content-Length: 6\r\n\r\nsecond"};

} // namespace

// A request that runs at most once ran twice: it was written to a kept connection, its response was
// lost, and the HTTP library wrote it again (review, case 2).
SCENARIO("the client writes a request once") {
    for (const char* method : {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "POST", "PATCH"}) {
        for (const bool is_repeatable : {false, true}) {
            const std::string kind = (is_repeatable ? "repeatable " : "") + std::string(method);
            SUBCASE(("Given: a kept connection, and a request: " + kind).c_str()) {
                scripted_server server({whole, {"", ending::close}, second});
                raw_caller caller;
                caller.send(make_request(server.address()));
                REQUIRE(caller.end == call_result::complete);
                request outgoing = make_request(server.address(), method);
                outgoing.repeatable = is_repeatable;
                WHEN("the server closes the connection without a response") {
                    caller.send(outgoing);
                    THEN("the call ends as disconnected, and the server got the request once") {
                        CHECK(caller.end == call_result::disconnected);
                        REQUIRE(server.requests().size() == 2);
                        // What may not be repeated is not risked on a kept connection.
                        CHECK(server.requests()[1].connection == (is_repeatable ? 1 : 2));
                    }
                }
            }
        }
    }
}

SCENARIO("no call gets bytes that belong to an earlier one") {
    GIVEN("a server that sends more than its response") {
        scripted_server server({{whole.bytes + "HTTP/1.1 200 OK\r\n\r\n"}, second});
        raw_caller caller;
        caller.send(make_request(server.address()));
        CHECK(caller.data == "first");
        WHEN("the client sends another request") {
            caller.send(make_request(server.address()));
            THEN("it uses a new connection, and gets its own response") {
                CHECK(caller.data == "second");
                CHECK(server.requests()[1].connection == 2);
            }
        }
    }
    GIVEN("a server that sends a second copy of its response later") {
        scripted_server server({{whole.bytes, ending::keep_open, whole.bytes}, second});
        raw_caller caller;
        caller.send(make_request(server.address()));
        CHECK(caller.data == "first");
        WHEN("the client sends another request after it") {
            caller.pause_for(std::chrono::milliseconds(200));
            caller.send(make_request(server.address()));
            THEN("it uses a new connection, and gets its own response") {
                CHECK(caller.data == "second");
                CHECK(server.requests()[1].connection == 2);
            }
        }
    }
    GIVEN("a server that responds before it has read a long body") {
        // More than the buffers of both sockets hold.
        constexpr std::size_t body_bytes = 64UL * 1024 * 1024;
        scripted_server server({{whole.bytes, ending::keep_open, "", true}, second});
        raw_caller caller;
        request outgoing = make_request(server.address(), "POST");
        outgoing.body = std::string(body_bytes, 'x');
        caller.send(outgoing);
        CHECK(caller.data == "first");
        WHEN("the client sends another request") {
            caller.send(make_request(server.address()));
            THEN("it does not follow the unfinished body on the same connection") {
                CHECK(caller.data == "second");
                CHECK(server.requests()[1].connection == 2);
            }
        }
    }
}

SCENARIO("connections are kept for later requests") {
    GIVEN("a server that keeps its connections open") {
        scripted_server server({whole, second});
        raw_caller caller;
        caller.send(make_request(server.address()));
        caller.send(make_request(server.address()));
        THEN("the second request uses the first connection") {
            CHECK(caller.data == "second");
            CHECK(server.requests()[1].connection == 1);
        }
    }
    GIVEN("a server that says that it closes") {
        scripted_server server(
            {{ok_head + "Connection: close\r\nContent-Length: 5\r\n\r\nfirst"}, second});
        raw_caller caller;
        caller.send(make_request(server.address()));
        caller.send(make_request(server.address()));
        THEN("the second request uses a new connection") {
            CHECK(server.requests()[1].connection == 2);
        }
    }
    GIVEN("a server that keeps idle connections for one second") {
        scripted_server server(
            {{ok_head + "Keep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nfirst"}, second});
        raw_caller caller;
        caller.send(make_request(server.address()));
        WHEN("that time has almost passed") {
            caller.pause_for(std::chrono::milliseconds(850));
            caller.send(make_request(server.address()));
            THEN("the second request uses a new connection") {
                CHECK(server.requests()[1].connection == 2);
            }
        }
    }
}

SCENARIO("a request is written byte for byte") {
    scripted_server server({whole, whole, whole, whole, whole});
    raw_caller caller;
    GIVEN("paths that a URL library would normalize") {
        for (const char* target : {"/a/../b/./c", "/%41%2f%2F", "//a//", "/a?", "/?b=c%20d"}) {
            caller.send(make_request(server.address(), "GET", target));
            CHECK(caller.end == call_result::complete);
            CHECK(server.requests().back().head.starts_with(std::string("GET ") + target +
                                                            " HTTP/1.1\r\n"));
        }
    }
    GIVEN("a header field that would end the head") {
        request outgoing = make_request(server.address());
        outgoing.headers.push_back({"X-Test", "a\r\nX-Other: b"});
        caller.send(outgoing);
        THEN("the call fails, and nothing is sent") {
            CHECK(caller.end == call_result::unreachable);
            CHECK(caller.reason.find("X-Test") != std::string::npos);
            CHECK(server.requests().empty());
        }
    }
    GIVEN("header fields that frame the message") {
        request outgoing = make_request(server.address(), "POST");
        outgoing.body = "body";
        outgoing.headers = {{"content-length", "2"}, {"Transfer-Encoding", "chunked"}};
        caller.send(outgoing);
        THEN("the client's own framing counts") {
            const std::string head = server.requests().at(0).head;
            CHECK(head.find("Content-Length: 4") != std::string::npos);
            CHECK(head.find("content-length: 2") == std::string::npos);
            CHECK(head.find("chunked") == std::string::npos);
        }
    }
}
