#include "base/system_clock.h"
#include "entry/internal/engine_call.h"
#include "http/exchange.h"
#include "http/server.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

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
        completions::completion_request request;
        request.stream = true;
        request.original_body = R"({"model":"m","prompt":"p","stream":true})";
        this->call = std::make_unique<engine_call>(request_id(1), std::move(request),
                                                   std::move(exchange), *this->context);
        this->caller.loop.quit();
    }

    void receive(const requests::message& message) {
        if (const auto* progressed = std::get_if<requests::attempt_progressed>(&message)) {
            this->call->select(progressed->attempt);
        } else if (const auto* completed = std::get_if<requests::attempt_completed>(&message)) {
            this->call->select(completed->attempt);
            this->call->complete();
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
        this->outcome.reset();
        membership::target_record target;
        target.address = engine.address();
        requests::send_attempt action;
        action.attempt = attempt_id(number);
        action.resume_after = tokens(resume_after);
        this->call->start_attempt(action, target);
        this->caller.pause_for(http::raw_caller::max_time);
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
