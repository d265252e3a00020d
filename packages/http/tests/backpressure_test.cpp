#include "base/system_clock.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/server.h"
#include "http/tests/raw_caller.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::size_t part_bytes = 64UL * 1024;
/// More than what sockets buffer, so that a part of it stays unsent until the client reads.
constexpr std::size_t stream_bytes = 32UL * 1024 * 1024;

/// A server that streams to a client on the same event loop.
struct streaming_server {
    raw_caller caller;
    std::unique_ptr<exchange> open_exchange;
    std::unique_ptr<server> http_server;
    std::unique_ptr<client::call> call;
    std::size_t received_bytes = 0;
    std::size_t sent_events = 0;
    bool is_complete = false;

    explicit streaming_server(duration read_interval) : caller(read_interval) {
        auto opened = value_or_error([&] {
            return server::open(endpoint{"127.0.0.1", 0}, 1024,
                                [this](std::unique_ptr<exchange> received) {
                                    this->open_exchange = std::move(received);
                                    this->open_exchange->on_sent([this] { ++this->sent_events; });
                                });
        });
        this->http_server = std::move(std::get<std::unique_ptr<server>>(opened));
        request outgoing = make_request(this->http_server->address());
        outgoing.max_response_bytes = 0;
        this->call = this->caller.http_client->start(
            outgoing, {[] {}, [](const response_head&) {},
                       [this](std::string_view part) {
                           this->received_bytes += part.size();
                           this->call->set_held_bytes(0);
                       },
                       [this](call_result result, const std::string&) {
                           this->is_complete = result == call_result::complete;
                       }});
        this->run_until([&] { return this->open_exchange != nullptr; });
        this->open_exchange->begin_stream(200, "text/event-stream");
    }
    ~streaming_server() {
        this->call.reset();
        this->open_exchange.reset();
        this->http_server.reset();
    }
    streaming_server(const streaming_server&) = delete;
    streaming_server& operator=(const streaming_server&) = delete;

    void write_all() {
        for (std::size_t size = 0; size < stream_bytes; size += part_bytes) {
            this->open_exchange->write(std::string(part_bytes, 'x'));
        }
    }

    template <typename condition>
    bool run_until(condition is_met) {
        const time_point end = this->caller.time.now() + std::chrono::seconds(10);
        while (!is_met() && this->caller.time.now() < end) {
            this->caller.pause_for(std::chrono::milliseconds(5));
        }
        return is_met();
    }
};

} // namespace

SCENARIO("a client that reads nothing makes its server wait") {
    for (const duration read_interval :
         {duration::zero(), duration(std::chrono::milliseconds(5))}) {
        const std::string interval = std::to_string(read_interval / std::chrono::milliseconds(1));
        SUBCASE(("Given: a client that reads every " + interval + " ms").c_str()) {
            streaming_server stream(read_interval);
            stream.open_exchange->write("begin");
            REQUIRE(stream.run_until([&] { return stream.received_bytes > 0; }));
            CHECK(stream.open_exchange->unsent_bytes() == 0);
            stream.call->set_paused(true);
            stream.write_all();
            stream.caller.pause_for(std::chrono::milliseconds(300));
            THEN("it receives nothing more, and the server knows what is unsent") {
                CHECK(stream.received_bytes == 5);
                CHECK(stream.open_exchange->unsent_bytes() > stream_bytes / 4);
                CHECK(stream.open_exchange->unsent_bytes() < stream_bytes);
                CHECK(stream.sent_events > 0);
            }
            AND_WHEN("it reads on") {
                stream.call->set_paused(false);
                THEN("it receives everything, and nothing is unsent") {
                    CHECK(stream.run_until(
                        [&] { return stream.received_bytes == stream_bytes + 5; }));
                    CHECK(stream.open_exchange->unsent_bytes() == 0);
                    stream.open_exchange->end_stream();
                    CHECK(stream.run_until([&] { return stream.is_complete; }));
                }
            }
        }
    }
}
