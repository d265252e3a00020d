#include "base/system_clock.h"
#include "entry/internal/engine_call.h"
#include "http/exchange.h"
#include "http/flow_control.h"
#include "http/server.h"
#include "http/tests/flooding_server.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <variant>

using namespace kingcupcart;
using namespace kingcupcart::entry;
using ending = http::scripted_reply::ending;

namespace {

constexpr std::int64_t body_limit = 1000;
const std::string first_chunk = R"(data: {"choices":[{"index":0,"text":"one"}],"weight_version":1})"
                                "\n\n";

/// A completion request that a caller sent to a server of the test, and the messages that its call
/// sends to the dispatcher.
struct completion_stream {
    http::raw_caller caller;
    /// Calls the engines.
    http::client engine_client{caller.time};
    std::unique_ptr<http::server> server;
    std::unique_ptr<engine_call> call;
    std::optional<call_context> context;
    std::optional<requests::message> outcome;
    bool is_paused = false;
    /// Number of the event at which the dispatcher breaks the answer off; 0 for none.
    int refused_event = 0;
    int events = 0;
    /// Belongs to the call.
    const http::exchange* open_exchange = nullptr;

    completion_stream() {
        this->context.emplace(call_context{
            this->engine_client, [this](const auto& message) { this->receive(message); }});
        auto opened = value_or_error([&] {
            return http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                      [this](std::unique_ptr<http::exchange> exchange) {
                                          this->accept(std::move(exchange));
                                      });
        });
        this->server = std::move(std::get<std::unique_ptr<http::server>>(opened));
        this->caller.call = this->caller.http_client->start(
            http::make_request(this->server->address(), "POST"),
            {[] {}, [this](const http::response_head& head) { this->caller.status = head.status; },
             [this](std::string_view part) { this->caller.data += part; },
             [this](http::call_result result, const std::string&) { this->caller.end = result; }});
        this->caller.pause_for(http::raw_caller::max_time);
    }
    ~completion_stream() {
        this->call.reset();
        this->server.reset();
    }
    completion_stream(const completion_stream&) = delete;
    completion_stream& operator=(const completion_stream&) = delete;

    void accept(std::unique_ptr<http::exchange> exchange) {
        this->open_exchange = exchange.get();
        completions::completion_request request;
        request.stream = true;
        request.original_body = R"({"model":"m","prompt":"p","stream":true})";
        this->call = std::make_unique<engine_call>(request_id(1), std::move(request),
                                                   std::move(exchange), *this->context);
        this->caller.loop.quit();
    }

    void receive(const requests::message& message) {
        if (const auto* progressed = std::get_if<requests::attempt_progressed>(&message)) {
            if (++this->events == this->refused_event) {
                this->call->cancel(progressed->attempt);
                this->call->refuse(problem{});
                this->caller.loop.quit();
                return;
            }
            this->call->select(progressed->attempt);
        } else if (const auto* completed = std::get_if<requests::attempt_completed>(&message)) {
            this->call->select(completed->attempt);
            this->call->complete();
        } else if (const auto* paused = std::get_if<requests::attempt_paused>(&message)) {
            this->is_paused = paused->is_paused;
        }
        const bool is_end = std::holds_alternative<requests::attempt_completed>(message) ||
                            std::holds_alternative<requests::attempt_failed>(message);
        if (is_end) {
            this->outcome = message;
            this->caller.loop.quit();
        }
    }

    /// Runs an attempt at the engine to its end.
    void attempt(std::uint64_t number, const http::scripted_server& engine, int resume_after) {
        this->attempt(number, engine.address(), resume_after, http::raw_caller::max_time);
    }

    /// Runs an attempt at the engine, at most for `max_wait`.
    void attempt(std::uint64_t number, const endpoint& engine, int resume_after,
                 duration max_wait) {
        this->outcome.reset();
        membership::target_record target;
        target.address = engine;
        requests::send_attempt action;
        action.attempt = attempt_id(number);
        action.resume_after = tokens(resume_after);
        this->call->start_attempt(action, target);
        this->caller.pause_for(max_wait);
    }
};

} // namespace

// Operators of similar systems found an error response in the middle of a stream.
SCENARIO("an engine's error response does not enter a stream that has begun") {
    completion_stream stream;
    REQUIRE(stream.call);
    GIVEN("a stream whose engine failed after the first token") {
        http::scripted_server first(
            {{"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n" + first_chunk, ending::close}});
        stream.attempt(1, first, 0);
        REQUIRE(stream.outcome);
        REQUIRE(std::holds_alternative<requests::attempt_failed>(*stream.outcome));
        WHEN("the next engine rejects the request") {
            http::scripted_server second(
                {{"HTTP/1.1 400 Bad Request\r\nContent-Length: 7\r\n\r\nfailure"}});
            stream.attempt(2, second, 1);
            stream.caller.pause_for(std::chrono::milliseconds(100));
            THEN("that attempt has failed, and the caller gets nothing of it") {
                REQUIRE(stream.outcome);
                CHECK(std::holds_alternative<requests::attempt_failed>(*stream.outcome));
                CHECK_FALSE(stream.caller.end);
                CHECK(stream.caller.data.find("one") != std::string::npos);
                CHECK(stream.caller.data.find("failure") == std::string::npos);
            }
        }
    }
    GIVEN("an engine that rejects the request before the stream has begun") {
        http::scripted_server first(
            {{"HTTP/1.1 400 Bad Request\r\nContent-Length: 7\r\n\r\nfailure"}});
        stream.attempt(1, first, 0);
        stream.caller.pause_for(std::chrono::milliseconds(100));
        THEN("the caller gets its response") {
            CHECK(stream.caller.status == 400);
            CHECK(stream.caller.data == "failure");
        }
    }
}

// Guards against an event that is written behind the error at which its answer was broken off.
SCENARIO("an event at which an answer is broken off does not reach the caller") {
    completion_stream stream;
    REQUIRE(stream.call);
    const std::string second_chunk =
        R"(data: {"choices":[{"index":0,"text":"two"}],"weight_version":2})"
        "\n\n";
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n";
    GIVEN("an engine whose second event can't be passed on") {
        stream.refused_event = 2;
        http::scripted_server engine({{head + first_chunk + second_chunk + second_chunk}});
        stream.attempt(1, engine, 0);
        stream.caller.pause_for(std::chrono::milliseconds(200));
        THEN("the caller gets the first one and the error, and the stream has no end of its own") {
            CHECK(stream.events == 2);
            CHECK(stream.caller.data.find("one") != std::string::npos);
            CHECK(stream.caller.data.find("event: error") != std::string::npos);
            CHECK(stream.caller.data.find("two") == std::string::npos);
            CHECK(stream.caller.data.find("[DONE]") == std::string::npos);
        }
    }
}

// Guards against a stream that fills the memory because its caller reads nothing.
SCENARIO("a completion without end is held in memory up to a limit") {
    constexpr std::size_t chunks_per_part = 16;
    const std::string chunk = R"(data: {"choices":[{"index":0,"text":")" + std::string(4000, 'x') +
                              R"("}],"weight_version":1})" + "\n\n";
    std::string part;
    for (std::size_t i = 0; i < chunks_per_part; ++i) {
        part += chunk;
    }
    const http::flooding_server engine("HTTP/1.1 200 OK\r\n\r\n", part);
    completion_stream stream;
    REQUIRE(stream.call);
    constexpr duration reading_time = std::chrono::milliseconds(500);
    /// The limit, and the events of one read beyond it.
    constexpr std::size_t most_unsent = 3 * http::flow_control::max_unsent_bytes;
    WHEN("the caller reads nothing") {
        stream.caller.call->set_paused(true);
        stream.attempt(1, engine.address(), 0, 2 * reading_time);
        THEN("the engine has to wait, and its attempt goes on") {
            const std::size_t written = engine.bytes_written();
            CHECK(written > 0);
            CHECK(stream.open_exchange->unsent_bytes() <= most_unsent);
            CHECK(stream.is_paused);
            CHECK_FALSE(stream.outcome);
            CHECK(engine.open_count() == 1);
            stream.caller.pause_for(reading_time);
            CHECK(engine.bytes_written() == written);
            AND_WHEN("it reads on") {
                stream.caller.call->set_paused(false);
                stream.caller.pause_for(reading_time);
                THEN("it gets more, and the engine goes on") {
                    CHECK(engine.bytes_written() > written);
                    CHECK(stream.caller.data.size() > 0);
                }
            }
        }
    }
}
