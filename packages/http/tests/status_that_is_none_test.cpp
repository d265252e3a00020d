#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <string_view>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

using ending = scripted_reply::ending;

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

/// Far longer than a call to a server on loopback takes, and far shorter than its deadline.
constexpr duration at_once = std::chrono::seconds(2);

void check_broken(const scripted_reply& reply, const std::string& method = "GET") {
    scripted_server server({reply, {whole}});
    raw_caller caller;
    caller.send(make_request(server.address(), method), at_once);
    CAPTURE(caller.reason);
    CHECK(caller.end == call_result::broken);
    CHECK(caller.status == 0);
    CHECK(caller.data.empty());
    caller.send(make_request(server.address()), at_once);
    CHECK(caller.end == call_result::complete);
    CHECK(caller.data == "second");
    CHECK(server.requests().back().connection == 2);
}

} // namespace

// A server in trouble answered with a status that is none; callers waited until their deadline, or
// got it with its body as their answer.
SCENARIO("a response with a status out of 100 to 599 ends the call at once") {
    for (const char* status : {"000", "001", "099", "600", "700", "999"}) {
        const std::string status_line = "HTTP/1.1 " + std::string(status) + " None\r\n";
        const std::string given = "Given: a response with the status " + std::string(status);
        SUBCASE((given + " and a length").c_str()) {
            check_broken({status_line + "Content-Length: 2\r\n\r\nno"});
        }
        SUBCASE((given + " in chunks").c_str()) {
            check_broken({status_line + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"});
        }
        SUBCASE((given + " until the connection closes").c_str()) {
            check_broken({status_line + "\r\nno", ending::close});
        }
        SUBCASE((given + " and no body").c_str()) {
            check_broken({status_line + "Content-Length: 0\r\n\r\n"});
        }
        SUBCASE((given + " to HEAD").c_str()) {
            check_broken({status_line + "Content-Length: 2\r\n\r\n"}, "HEAD");
        }
        SUBCASE((given + " and then a response with a status").c_str()) {
            check_broken({status_line + "Content-Length: 0\r\n\r\n" + whole});
        }
        SUBCASE((given + " in a head that does not end").c_str()) {
            check_broken({status_line + "X-Test: a\r\n"});
        }
        SUBCASE((given + " and a reset within the status line").c_str()) {
            check_broken({"HTTP/1.1 " + std::string(status), ending::reset});
        }
        SUBCASE((given + " after an interim response").c_str()) {
            check_broken(
                {"HTTP/1.1 103 Early Hints\r\n\r\n" + status_line + "Content-Length: 2\r\n\r\nno"});
        }
    }
    for (const int status : {200, 299, 300, 404, 500, 503, 599}) {
        SUBCASE(("Given: a response with the status " + std::to_string(status)).c_str()) {
            scripted_server server(
                {{"HTTP/1.1 " + std::to_string(status) + " Some\r\nContent-Length: 2\r\n\r\nok"}});
            raw_caller caller;
            caller.send(make_request(server.address()), at_once);
            THEN("the caller gets it") {
                CHECK(caller.end == call_result::complete);
                CHECK(caller.status == status);
                CHECK(caller.data == "ok");
            }
        }
    }
}

// What a server sends as the body of an interim response must not pass for the response.
SCENARIO("an interim response with a body ends the call at once") {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n";
    GIVEN("one with a length, whose body looks like a response") {
        const std::string body = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno";
        check_broken(
            {interim + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body});
    }
    GIVEN("one with a length, whose body has not arrived") {
        check_broken({interim + "Content-Length: 2\r\n\r\n"});
    }
    GIVEN("one in chunks") {
        check_broken({interim + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"});
    }
    GIVEN("one that says that it has none") {
        scripted_server server({{interim + "Content-Length: 0\r\n\r\n" + whole}});
        raw_caller caller;
        caller.send(make_request(server.address()), at_once);
        THEN("it is skipped") {
            CHECK(caller.end == call_result::complete);
            CHECK(caller.data == "second");
        }
    }
}

SCENARIO("a connection that ends without a final head gives no response") {
    for (const char* status : {"000", "099", "100", "103"}) {
        for (const char* body : {"", "no", "HTTP/1.1"}) {
            SUBCASE(("Given: the status " + std::string(status) + " and '" + body + "'").c_str()) {
                scripted_server server(
                    {{"HTTP/1.1 " + std::string(status) + " Some\r\n\r\n" + body, ending::close}});
                raw_caller caller;
                caller.send(make_request(server.address()), at_once);
                CHECK(caller.end != call_result::complete);
                CHECK(caller.status == 0);
                CHECK(caller.data.empty());
            }
        }
    }
}
