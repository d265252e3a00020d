#include "http/client.h"
#include "http/tests/raw_server.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::size_t response_limit = 1024UL * 1024;
/// More than the limits of the client, and what sockets buffer in between.
constexpr std::size_t most_bytes = 16UL * 1024 * 1024;
constexpr duration most_time = std::chrono::seconds(10);

/// A call to a raw server, on an event loop of its own.
struct raw_call {
    task::event_loop loop;
    std::unique_ptr<client> http_client;
    std::unique_ptr<client::call> call;
    std::unique_ptr<task::wakeup> timeout;
    std::string data;
    std::optional<call_result> end;

    raw_call(const raw_server& server, duration read_interval) {
        this->loop.enter();
        this->http_client = std::make_unique<client>(read_interval);
        this->timeout = std::make_unique<task::wakeup>([this] { this->loop.quit(); });
        this->timeout->arm(std::chrono::steady_clock::now() + most_time);
        request outgoing;
        outgoing.url = "http://" + server.address().to_string() + "/";
        outgoing.max_response_bytes = response_limit;
        this->call = this->http_client->start(
            outgoing, {[] {}, [](const response_head&) {},
                       [this](std::string_view part) { this->data += part; },
                       [this](call_result result, const std::string&) {
                           this->end = result;
                           this->loop.quit();
                       }});
        this->loop.run();
    }
    ~raw_call() {
        this->call.reset();
        this->http_client.reset();
        this->timeout.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    raw_call(const raw_call&) = delete;
    raw_call& operator=(const raw_call&) = delete;
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

SCENARIO("a server that sends without end does not exhaust the client") {
    GIVEN("a client that reads as data arrives") {
        check_endless_servers(duration::zero());
    }
    GIVEN("a client that reads at intervals") {
        check_endless_servers(std::chrono::milliseconds(5));
    }
}
