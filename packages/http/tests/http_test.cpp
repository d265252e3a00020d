#include "base/system_clock.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::int64_t body_limit = 1000;

/// A server and a client on one event loop, which stops at each event that a test may wait for.
struct client_and_server {
    system_clock time;
    task::event_loop loop;
    std::unique_ptr<server> http_server;
    std::unique_ptr<client> http_client;
    std::unique_ptr<exchange> open_exchange;
    std::unique_ptr<client::call> call;
    std::unique_ptr<task::wakeup> timeout;
    bool timed_out = false;
    bool write_started = false;
    bool disconnected = false;
    response_head head;
    std::string data;
    /// When the client received each part of the data.
    std::vector<time_point> times;
    std::optional<call_result> end;

    explicit client_and_server(duration read_interval = duration::zero()) {
        this->loop.enter();
        this->timeout = std::make_unique<task::wakeup>([this] {
            this->timed_out = true;
            this->loop.quit();
        });
        this->timeout->arm(std::chrono::steady_clock::now() + std::chrono::seconds(20));
        auto opened = value_or_error([&] {
            return server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                [this](std::unique_ptr<exchange> received) {
                                    this->open_exchange = std::move(received);
                                    this->open_exchange->on_disconnect([this] {
                                        this->disconnected = true;
                                        this->loop.quit();
                                    });
                                    this->loop.quit();
                                });
        });
        this->http_server = std::move(std::get<std::unique_ptr<server>>(opened));
        this->http_client =
            std::make_unique<client>(this->time, client::parameters{{}, read_interval});
    }
    ~client_and_server() {
        CHECK_FALSE(this->timed_out);
        this->call.reset();
        this->open_exchange.reset();
        this->http_client.reset();
        this->http_server.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->timeout.reset();
        this->loop.leave();
    }
    client_and_server(const client_and_server&) = delete;
    client_and_server& operator=(const client_and_server&) = delete;

    void send(const std::string& body, const std::string& address = "",
              const std::string& target = "/a?b=c") {
        request outgoing;
        outgoing.method = "POST";
        outgoing.url = "http://" +
                       (address.empty() ? this->http_server->address().to_string() : address) +
                       target;
        outgoing.content_type = "text/plain";
        outgoing.body = body;
        this->call = this->http_client->start(
            outgoing, {[this] { this->write_started = true; },
                       [this](const response_head& received_head) {
                           this->head = received_head;
                           this->loop.quit();
                       },
                       [this](std::string_view part) {
                           this->data += part;
                           this->times.push_back(std::chrono::steady_clock::now());
                           this->loop.quit();
                       },
                       [this](call_result result, const std::string&) {
                           this->end = result;
                           this->loop.quit();
                       }});
        this->loop.run();
    }

    void run_to_end() {
        while (!this->end && !this->timed_out) {
            this->loop.run();
        }
    }
};

} // namespace

SCENARIO("a client receives the whole response to its request") {
    client_and_server fixture;
    GIVEN("a request that the server has received") {
        fixture.send("hello");
        REQUIRE(fixture.open_exchange);
        CHECK(fixture.write_started);
        CHECK(fixture.open_exchange->method() == "POST");
        CHECK(fixture.open_exchange->path() == "/a?b=c");
        CHECK(fixture.open_exchange->body() == "hello");
        CHECK(fixture.open_exchange->header("content-type") == "text/plain");
        CHECK(fixture.open_exchange->remote_address() == "127.0.0.1");
        WHEN("the server responds in one piece") {
            fixture.open_exchange->add_header("X-Test", "yes");
            fixture.open_exchange->respond(201, "text/plain", "answer");
            fixture.run_to_end();
            THEN("the client receives status, headers and body") {
                CHECK(fixture.end == call_result::complete);
                CHECK(fixture.head.status == 201);
                CHECK(fixture.data == "answer");
                CHECK_FALSE(fixture.disconnected);
            }
        }
        WHEN("the server streams the response") {
            fixture.open_exchange->begin_stream(200, "text/event-stream");
            fixture.open_exchange->write("one ");
            while (fixture.data.empty() && !fixture.timed_out) {
                fixture.loop.run();
            }
            CHECK(fixture.data == "one ");
            CHECK_FALSE(fixture.end);
            fixture.open_exchange->write("two");
            fixture.open_exchange->end_stream();
            fixture.run_to_end();
            THEN("the client receives each part when the server writes it") {
                CHECK(fixture.end == call_result::complete);
                CHECK(fixture.data == "one two");
            }
        }
        WHEN("the server drops the exchange in the middle of a stream") {
            fixture.open_exchange->begin_stream(200, "text/plain");
            fixture.open_exchange->write("half");
            while (fixture.data.empty() && !fixture.timed_out) {
                fixture.loop.run();
            }
            fixture.open_exchange.reset();
            fixture.run_to_end();
            THEN("the call ends as disconnected, not as complete") {
                CHECK(fixture.end == call_result::disconnected);
            }
        }
        WHEN("the client cancels the call before the response") {
            fixture.call.reset();
            while (!fixture.disconnected && !fixture.timed_out) {
                fixture.loop.run();
            }
            THEN("the server is notified of the disconnect") {
                CHECK(fixture.disconnected);
            }
        }
        WHEN("the client cancels the call in the middle of a stream") {
            fixture.open_exchange->begin_stream(200, "text/plain");
            fixture.open_exchange->write("half");
            while (fixture.data.empty() && !fixture.timed_out) {
                fixture.loop.run();
            }
            fixture.call.reset();
            while (!fixture.disconnected && !fixture.timed_out) {
                fixture.loop.run();
            }
            THEN("the server is notified of the disconnect") {
                CHECK(fixture.disconnected);
            }
        }
    }
    GIVEN("a request body over the limit") {
        fixture.send(std::string(body_limit + 1, 'x'));
        fixture.run_to_end();
        THEN("the server rejects it with status 413 and calls no handler") {
            CHECK(fixture.head.status == 413);
            CHECK_FALSE(fixture.open_exchange);
        }
    }
    GIVEN("an address at which no server listens") {
        const endpoint closed_address = fixture.http_server->address();
        fixture.http_server.reset();
        fixture.send("hello", closed_address.to_string());
        fixture.run_to_end();
        THEN("the call ends as unreachable and no write started") {
            CHECK(fixture.end == call_result::unreachable);
            CHECK_FALSE(fixture.write_started);
        }
    }
}

// A request whose client had left in the middle of a stream stayed open for ever, so that a planned
// stop waited for it.
SCENARIO("a server that stops does not wait for clients that have left") {
    client_and_server fixture;
    bool is_idle = false;
    const auto stop = [&] {
        fixture.call.reset();
        while (!fixture.disconnected && !fixture.timed_out) {
            fixture.loop.run();
        }
        fixture.open_exchange.reset();
        fixture.http_server->begin_stop([&] {
            is_idle = true;
            fixture.loop.quit();
        });
        while (!is_idle && !fixture.timed_out) {
            fixture.loop.run();
        }
    };
    fixture.send("hello");
    REQUIRE(fixture.open_exchange);

    WHEN("the client leaves before the response") {
        stop();
        THEN("the server is idle") {
            CHECK(is_idle);
        }
    }
    WHEN("the client leaves in the middle of a stream") {
        fixture.open_exchange->begin_stream(200, "text/plain");
        fixture.open_exchange->write("half");
        while (fixture.data.empty() && !fixture.timed_out) {
            fixture.loop.run();
        }
        stop();
        THEN("the server is idle") {
            CHECK(is_idle);
        }
    }
    WHEN("the client leaves a stream of which a part waits to be sent") {
        fixture.open_exchange->begin_stream(200, "text/plain");
        fixture.open_exchange->write("half");
        while (fixture.data.empty() && !fixture.timed_out) {
            fixture.loop.run();
        }
        fixture.open_exchange->write("more");
        stop();
        THEN("the server is idle") {
            CHECK(is_idle);
        }
    }
}

SCENARIO("a server reports the path of a request byte for byte") {
    for (const std::string& target :
         {std::string("/a/../b/./c"), std::string("/%41%2f%2F"), std::string("//a//"),
          std::string("/a?"), std::string("/a?b=%20&c=%2b")}) {
        client_and_server fixture;
        fixture.send("", "", target);
        REQUIRE(fixture.open_exchange);
        CHECK(fixture.open_exchange->path() == target);
    }
}

SCENARIO("a client with a read interval batches its reads") {
    constexpr auto interval = std::chrono::milliseconds(20);
    GIVEN("a client with a read interval, and an open stream") {
        client_and_server fixture(interval);
        fixture.send("hello");
        fixture.open_exchange->begin_stream(200, "text/plain");
        fixture.open_exchange->write("one ");
        while (fixture.data.empty() && !fixture.timed_out) {
            fixture.loop.run();
        }
        WHEN("several parts and the end arrive within one interval") {
            fixture.open_exchange->write("two ");
            fixture.open_exchange->write("three");
            fixture.open_exchange->end_stream();
            fixture.run_to_end();
            THEN("the client reads all of them, after the interval has passed") {
                CHECK(fixture.end == call_result::complete);
                CHECK(fixture.data == "one two three");
                REQUIRE(fixture.times.size() > 1);
                CHECK(fixture.times[1] - fixture.times[0] >= interval);
            }
            AND_WHEN("the client sends another request") {
                fixture.end.reset();
                fixture.data.clear();
                fixture.send("again");
                fixture.open_exchange->respond(200, "text/plain", "answer");
                fixture.run_to_end();
                THEN("it receives that response too") {
                    CHECK(fixture.data == "answer");
                }
            }
        }
        WHEN("the server drops the exchange") {
            fixture.open_exchange.reset();
            fixture.run_to_end();
            THEN("the call ends as disconnected, not as complete") {
                CHECK(fixture.end == call_result::disconnected);
            }
        }
        WHEN("the client cancels the call") {
            fixture.call.reset();
            while (!fixture.disconnected && !fixture.timed_out) {
                fixture.loop.run();
            }
            THEN("the server is notified of the disconnect") {
                CHECK(fixture.disconnected);
            }
        }
    }
}
