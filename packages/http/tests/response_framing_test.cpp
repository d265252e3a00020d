#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

using ending = scripted_reply::ending;

const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string closing = "Connection: close\r\n";

/// The call's end for a single reply.
void check_end(const scripted_reply& reply, call_result end, const std::string& body) {
    for (const duration read_interval :
         {duration::zero(), duration(std::chrono::milliseconds(5))}) {
        scripted_server server({reply});
        raw_caller caller(read_interval);
        caller.send(make_request(server.address()));
        CAPTURE(caller.reason);
        CHECK(caller.end == end);
        CHECK(caller.data == body);
        CHECK(server.requests().size() == 1);
    }
}

} // namespace

// A response that a crash cuts off must not pass for a whole one (review, case 4).
SCENARIO("a response is complete only by its own framing") {
    GIVEN("a chunked response") {
        for (const std::string& connection : {std::string(), closing}) {
            const std::string start = ok_head + chunked + connection + "\r\n4\r\nhalf\r\n";
            const std::string kind = connection.empty() ? ", keep-alive" : ", closing";
            SUBCASE(("When: its last chunk arrives" + kind).c_str()) {
                THEN("it is complete") {
                    check_end({start + "0\r\n\r\n", ending::close}, call_result::complete, "half");
                }
            }
            SUBCASE(("When: the server closes between two chunks" + kind).c_str()) {
                THEN("it is cut short by the server") {
                    check_end({start, ending::close}, call_result::disconnected, "half");
                }
            }
            SUBCASE(("When: the server resets the connection" + kind).c_str()) {
                THEN("it is cut short by the server") {
                    check_end({start, ending::reset}, call_result::disconnected, "half");
                }
            }
            SUBCASE(("When: the server closes within the last chunk" + kind).c_str()) {
                THEN("it is cut short by the server") {
                    check_end({start + "0\r\n", ending::close}, call_result::disconnected, "half");
                }
            }
        }
    }
    GIVEN("a response with a length") {
        WHEN("the server closes before its end") {
            THEN("it is cut short by the server") {
                check_end({ok_head + "Content-Length: 8\r\n" + closing + "\r\nhalf", ending::close},
                          call_result::disconnected, "half");
            }
        }
        WHEN("it also claims to be chunked") {
            THEN("it is broken, since its end is ambiguous") {
                check_end({ok_head + chunked + "Content-Length: 4\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"},
                          call_result::broken, "");
            }
        }
    }
    GIVEN("a response without length and chunks") {
        WHEN("the server closes the connection") {
            THEN("it is complete") {
                check_end({ok_head + "\r\nall", ending::close}, call_result::complete, "all");
            }
        }
        WHEN("the server resets the connection") {
            THEN("it is cut short by the server") {
                check_end({ok_head + "\r\nhalf", ending::reset}, call_result::disconnected, "half");
            }
        }
    }
}

// Operators saw a 200 with an empty body where a server had stopped within its head.
SCENARIO("a head that is cut short is no response") {
    for (const ending after : {ending::close, ending::reset}) {
        for (const std::string& part :
             {std::string("HTTP/1.1 2"), std::string("HTTP/1.1 200 OK"), ok_head,
              ok_head + "Content-Length: 2\r\n", ok_head + "X-Test: a\r\n" + chunked,
              ok_head + closing + "\r", std::string("HTTP/1.1 103 Early Hints\r\n\r\n"),
              "HTTP/1.1 103 Early Hints\r\n\r\n" + ok_head}) {
            SUBCASE(("When: the server ends after '" + part + "'" +
                     (after == ending::close ? "" : " by a reset"))
                        .c_str()) {
                scripted_server server({{part, after}});
                raw_caller caller;
                caller.send(make_request(server.address()));
                THEN("the call ends as disconnected, and the caller gets no head") {
                    CHECK(caller.end == call_result::disconnected);
                    CHECK(caller.status == 0);
                    CHECK(caller.data.empty());
                }
            }
        }
    }
}

// A server that ends while it runs a request looks like this to its client; one that sends what is
// no response has not ended.
SCENARIO("a connection that the server ends is told apart from a faulty response") {
    for (const ending after : {ending::close, ending::reset}) {
        const std::string by = after == ending::close ? " closes" : " resets";
        SUBCASE(("When: the server" + by + " the connection before it responds").c_str()) {
            THEN("the call ends as disconnected") {
                check_end({"", after}, call_result::disconnected, "");
            }
        }
        SUBCASE(("When: the server" + by + " a kept connection under a request").c_str()) {
            scripted_server server({{ok_head + "Content-Length: 2\r\n\r\nok"}, {"", after}});
            raw_caller caller;
            request outgoing = make_request(server.address());
            outgoing.repeatable = true;
            caller.send(outgoing);
            REQUIRE(caller.end == call_result::complete);
            caller.send(outgoing);
            THEN("the call ends as disconnected") {
                CHECK(server.requests()[1].connection == 1);
                CHECK(caller.end == call_result::disconnected);
            }
        }
        for (const char* bytes : {"no response", "H", "HTTP/2.0 200 OK\r\n"}) {
            const bool begins_as_response = std::string(bytes) == "H";
            SUBCASE(("When: the server sends '" + std::string(bytes) + "' and" + by).c_str()) {
                THEN("the call ends as broken, unless the bytes may begin a response") {
                    check_end({bytes, after},
                              begins_as_response ? call_result::disconnected : call_result::broken,
                              "");
                }
            }
        }
        for (const std::string& bytes : {ok_head + chunked + "\r\n4\r\nhalfno chunk",
                                         ok_head + "Content-Length: x\r\n\r\nhalf"}) {
            SUBCASE(("When: the server sends '" + bytes + "' and" + by).c_str()) {
                scripted_server server({{bytes, after}});
                raw_caller caller;
                caller.send(make_request(server.address()));
                THEN("the call ends as broken") {
                    CHECK(caller.end == call_result::broken);
                }
            }
        }
    }
    GIVEN("an address at which no server listens") {
        endpoint closed;
        {
            const scripted_server server({});
            closed = server.address();
        }
        raw_caller caller;
        caller.send(make_request(closed));
        THEN("the call ends as unreachable") {
            CHECK(caller.end == call_result::unreachable);
        }
    }
}

SCENARIO("interim responses are skipped") {
    GIVEN("a server that sends two of them before its response") {
        scripted_server server({{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                 "Link: a\r\n\r\n" +
                                 ok_head + "Content-Length: 2\r\n\r\nok"}});
        raw_caller caller;
        caller.send(make_request(server.address()));
        THEN("the caller gets the final response alone") {
            CHECK(caller.end == call_result::complete);
            CHECK(caller.status == 200);
            CHECK(caller.data == "ok");
        }
    }
    GIVEN("a server that switches to another protocol") {
        THEN("the call ends as broken") {
            check_end({"HTTP/1.1 101 Switching Protocols\r\n\r\nbytes"}, call_result::broken, "");
        }
    }
}

SCENARIO("a response to HEAD has no body") {
    scripted_server server({{ok_head + "Content-Length: 10\r\n\r\n"}, {ok_head + "\r\n"}});
    raw_caller caller;
    caller.send(make_request(server.address(), "HEAD"));
    THEN("it is complete after its head") {
        CHECK(caller.end == call_result::complete);
        CHECK(caller.data.empty());
    }
}
