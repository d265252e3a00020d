#include "http/client.h"
#include "http/tests/raw_caller.h"
#include "http/tests/raw_server.h"

#include <doctest/doctest.h>

#include <string>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::size_t response_limit = 1024UL * 1024;
/// More than the limits of the client, and what sockets buffer in between.
constexpr std::size_t most_bytes = 16UL * 1024 * 1024;

/// A call to a raw server, on an event loop of its own.
struct raw_call : raw_caller {
    raw_call(const raw_server& server, duration read_interval) : raw_caller(read_interval) {
        request outgoing = make_request(server.address());
        outgoing.max_response_bytes = response_limit;
        this->send(outgoing);
    }
};

const std::string filler(64UL * 1024, 'x');
const std::string ok_head = "HTTP/1.1 200 OK\r\n";
const std::string chunked_head = ok_head + "Transfer-Encoding: chunked\r\n\r\n";

void check_endless_servers(duration read_interval) {
    WHEN("bytes that are no response") {
        raw_server server(filler, filler);
        const raw_call call(server, read_interval);
        THEN("the call ends as broken") {
            CHECK(call.end == call_result::broken);
            CHECK(server.bytes_written() < most_bytes);
        }
    }
    WHEN("a head whose last field does not end") {
        raw_server server(ok_head + "X-Filler: ", filler);
        const raw_call call(server, read_interval);
        THEN("the call ends as broken") {
            CHECK(call.end == call_result::broken);
            CHECK(server.bytes_written() < most_bytes);
        }
    }
    // An interim head is a whole message: a limit on one head alone does not end this.
    WHEN("interim heads") {
        std::string heads;
        while (heads.size() < filler.size()) {
            heads += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        raw_server server(heads, heads);
        const raw_call call(server, read_interval);
        THEN("the call ends as broken, without a head") {
            CHECK(call.end == call_result::broken);
            CHECK(call.status == 0);
            CHECK(server.bytes_written() < most_bytes);
        }
    }
    WHEN("trailer fields") {
        raw_server server(chunked_head + "2\r\nok\r\n0\r\nX-Filler: ", filler);
        const raw_call call(server, read_interval);
        THEN("the call ends as broken") {
            CHECK(call.end == call_result::broken);
            CHECK(server.bytes_written() < most_bytes);
        }
    }
    WHEN("chunks of one byte with extensions") {
        raw_server server(chunked_head, "1;" + std::string(512, 'x') + "\r\ny\r\n");
        const raw_call call(server, read_interval);
        THEN("the call ends as broken long before the body reaches its limit") {
            CHECK(call.end == call_result::broken);
            CHECK(call.data.size() < response_limit / 2);
        }
    }
    WHEN("a body that ends with its connection, which stays open") {
        raw_server server(ok_head + "\r\n", filler);
        const raw_call call(server, read_interval);
        THEN("the call ends as broken at the limit") {
            CHECK(call.end == call_result::broken);
            CHECK(call.data.size() <= response_limit);
        }
    }
    WHEN("a chunk extension that does not end") {
        raw_server server(chunked_head + "5;", filler);
        const raw_call call(server, read_interval);
        THEN("the call ends as broken") {
            CHECK(call.end == call_result::broken);
            CHECK(server.bytes_written() < most_bytes);
        }
    }
    WHEN("bytes after the announced length") {
        raw_server server(ok_head + "Content-Length: 2\r\n\r\nok", filler);
        const raw_call call(server, read_interval);
        THEN("the response is complete without them") {
            CHECK(call.end == call_result::complete);
            CHECK(call.data == "ok");
        }
    }
}

} // namespace

// A client that reads for as long as bytes are there starves the loop's timers, and with them every
// deadline of its process (review, case 1).
SCENARIO("a server that sends without a pause does not hold up the client's event loop") {
    GIVEN("a response without end and without a limit") {
        // More than any machine sends while the call runs.
        constexpr std::size_t unreachable_bytes = 64UL * 1024 * 1024 * 1024;
        raw_server server(ok_head + "\r\n", filler, unreachable_bytes);
        for (const duration read_interval :
             {duration::zero(), duration(std::chrono::milliseconds(5))}) {
            const std::string interval =
                std::to_string(read_interval / std::chrono::milliseconds(1));
            SUBCASE(("When: the client reads every " + interval + " ms").c_str()) {
                raw_caller caller(read_interval);
                request outgoing = make_request(server.address());
                outgoing.max_response_bytes = 0;
                const time_point started_at = caller.time.now();
                caller.send(outgoing, std::chrono::milliseconds(200));
                THEN("the timer is called in time, and the call goes on") {
                    CHECK(caller.time.now() - started_at < std::chrono::seconds(1));
                    CHECK_FALSE(caller.end);
                    CHECK(caller.data.size() > response_limit);
                }
            }
        }
    }
}

SCENARIO("a server that sends without end does not exhaust the client") {
    GIVEN("a client that reads as data arrives") {
        check_endless_servers(duration::zero());
    }
    GIVEN("a client that reads at intervals") {
        check_endless_servers(std::chrono::milliseconds(5));
    }
}
