#include "forwarding/internal/forwarded_call.h"
#include "forwarding/tests/unanswering_host.h"
#include "http/response_budget.h"
#include "http/tests/flooding_server.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>
#include <optional>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::forwarding;
using http::scripted_reply;
using requests::attempt_failure;
using ending = http::scripted_reply::ending;

namespace {

constexpr std::size_t response_limit = 1024UL * 1024;
const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

http::request forward(const engines::forwarded_request& request,
                      const membership::target_record& target) {
    return http::make_request(target.address, request.method, request.path);
}

constexpr int status_not_run = 421;

engines::response_kind classify(const http::response_head& head, std::string_view /*name*/) {
    return head.status == status_not_run ? engines::response_kind::not_run
                                         : engines::response_kind::matching;
}

std::optional<engines::stream_event> parse_event(const completions::server_sent_event& event) {
    engines::stream_event parsed;
    std::from_chars(event.id.data(), event.id.data() + event.id.size(), parsed.number);
    parsed.data = event.data;
    return parsed;
}

/// A call of a stream, and what its caller and the dispatcher receive. Selects an attempt as soon
/// as it progresses, as the dispatcher does.
struct streamed_call {
    http::raw_caller runner;
    telemetry::metric_set metrics;
    std::optional<forwarded_call> call;
    std::string delivered;
    bool has_started = false;
    bool has_ended = false;
    bool has_response = false;
    std::optional<requests::message> outcome;
    /// Of what was delivered, the part that the caller has read.
    std::size_t read_bytes = 0;
    bool is_paused = false;
    /// Runs at targets that were counted.
    int runs = 0;

    explicit streamed_call(bool is_stream = true) {
        forwarded_call::parameters arguments;
        arguments.call.name = "r";
        arguments.call.request.method = "POST";
        arguments.call.request.path = "/";
        arguments.call.notify.on_response = [this](const http::response_head&,
                                                   std::string_view body) {
            this->has_response = true;
            this->delivered += body;
        };
        arguments.call.notify.on_stream_started = [this](const http::response_head&) {
            this->has_started = true;
        };
        arguments.call.notify.on_stream_data = [this](std::string_view data) {
            this->delivered += data;
        };
        arguments.call.notify.unsent_bytes = [this] {
            return this->delivered.size() - std::min(this->read_bytes, this->delivered.size());
        };
        arguments.call.notify.on_stream_ended = [this] { this->has_ended = true; };
        arguments.protocol.forward = &forward;
        arguments.protocol.classify_response = &classify;
        arguments.protocol.parse_event = &parse_event;
        arguments.head_received = [](const forwarding::observed_request&,
                                     const http::response_head&) {};
        arguments.deadline = this->runner.time.now() + std::chrono::seconds(10);
        arguments.is_stream = is_stream;
        arguments.max_response_bytes = response_limit;
        arguments.time = &this->runner.time;
        arguments.client = this->runner.http_client.get();
        arguments.metrics = &this->metrics;
        arguments.run_began = [this](duration) { ++this->runs; };
        arguments.notify = [this](const requests::message& message) { this->receive(message); };
        this->call.emplace(std::move(arguments));
    }
    ~streamed_call() { this->call.reset(); }
    streamed_call(const streamed_call&) = delete;
    streamed_call& operator=(const streamed_call&) = delete;

    void receive(const requests::message& message) {
        if (const auto* progressed = std::get_if<requests::attempt_progressed>(&message)) {
            this->call->select_attempt(progressed->attempt);
        } else if (const auto* completed = std::get_if<requests::attempt_completed>(&message)) {
            this->call->select_attempt(completed->attempt);
            this->call->complete();
            this->outcome = message;
            this->runner.loop.quit();
        } else if (const auto* paused = std::get_if<requests::attempt_paused>(&message)) {
            this->is_paused = paused->is_paused;
        } else if (std::holds_alternative<requests::attempt_failed>(message)) {
            this->outcome = message;
            this->runner.loop.quit();
        }
    }

    /// Runs an attempt at the server to its end.
    void attempt(std::uint64_t number, const http::scripted_server& server, int resume_after) {
        this->attempt(number, server.address(), resume_after, http::raw_caller::max_time);
    }

    /// Runs an attempt at the server, at most for `max_wait`.
    void attempt(std::uint64_t number, const endpoint& server, int resume_after,
                 duration max_wait) {
        this->outcome.reset();
        membership::target_record target;
        target.id = target_id("t");
        target.address = server;
        requests::send_attempt action;
        action.attempt = attempt_id(number);
        action.resume_after = tokens(resume_after);
        this->call->start_attempt(action, target);
        this->runner.pause_for(max_wait);
    }

    [[nodiscard]] bool has_failed(attempt_failure failure) const {
        const auto* failed =
            this->outcome ? std::get_if<requests::attempt_failed>(&*this->outcome) : nullptr;
        return failed != nullptr && failed->failure == failure;
    }
};

const std::string first_event = "id: 1\ndata: one\n\n";
const std::string second_event = "id: 2\ndata: two\n\n";

std::string whole_stream(const std::string& events) {
    return stream_head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
}

} // namespace

// Operators of similar systems saw streams that broke off and that another server's error response
// ended as if they were complete, or in which its text appeared.
SCENARIO("a stream that has begun ends by its own end, or is broken off") {
    GIVEN("a stream that broke off after its first event") {
        streamed_call stream;
        http::scripted_server first(
            {{stream_head + "Content-Length: 100\r\n\r\n" + first_event, ending::close}});
        stream.attempt(1, first, 0);
        REQUIRE(stream.has_failed(attempt_failure::disconnected));
        REQUIRE(stream.delivered == first_event);
        for (const char* head :
             {"HTTP/1.1 500 Internal Server Error\r\n", "HTTP/1.1 400 Bad Request\r\n",
              "HTTP/1.1 302 Found\r\n", "HTTP/1.1 503 Service Unavailable\r\n"}) {
            SUBCASE((std::string("When: the next target answers ") + head).c_str()) {
                http::scripted_server second(
                    {{head + std::string("Content-Length: 7\r\n\r\nfailure")}});
                stream.attempt(2, second, 1);
                THEN("that attempt has failed, and the caller gets nothing of it") {
                    CHECK(stream.has_failed(attempt_failure::broken));
                    CHECK_FALSE(stream.has_ended);
                    CHECK_FALSE(stream.has_response);
                    CHECK(stream.delivered == first_event);
                }
            }
        }
        WHEN("the next target resumes it") {
            http::scripted_server second({{whole_stream(second_event)}});
            stream.attempt(2, second, 1);
            THEN("the caller gets the rest and the end") {
                CHECK(stream.delivered == first_event + second_event);
                CHECK(stream.has_ended);
            }
        }
        WHEN("the next target stops within its head") {
            http::scripted_server second({{"HTTP/1.1 200 OK\r\nContent-", ending::close}});
            stream.attempt(2, second, 1);
            THEN("that attempt has failed") {
                CHECK(stream.has_failed(attempt_failure::disconnected));
                CHECK_FALSE(stream.has_ended);
            }
        }
    }
    GIVEN("a whole response that ends within an event") {
        streamed_call stream;
        http::scripted_server first({{whole_stream(first_event + "id: 2\ndata: tw")}});
        stream.attempt(1, first, 0);
        THEN("the attempt has failed, after its complete events") {
            CHECK(stream.has_failed(attempt_failure::broken));
            CHECK_FALSE(stream.has_ended);
            CHECK(stream.delivered == first_event);
        }
    }
    GIVEN("an error response before the stream has begun") {
        streamed_call stream;
        http::scripted_server first(
            {{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nfailure"}});
        stream.attempt(1, first, 0);
        THEN("the caller gets it as it is") {
            CHECK(stream.has_response);
            CHECK(stream.delivered == "failure");
            CHECK_FALSE(stream.has_started);
        }
    }
}

// Operators of similar systems saw a 200 with a short body where a server stopped within its head.
SCENARIO("a response whose head was cut short reaches no caller") {
    for (const ending after : {ending::close, ending::reset}) {
        for (const std::string& part :
             {std::string("HTTP/1.1 200 OK\r\n"),
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"),
              std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Te")}) {
            SUBCASE(("When: a server ends after '" + part + "'" +
                     (after == ending::close ? "" : " by a reset"))
                        .c_str()) {
                streamed_call call(false);
                http::scripted_server server({{part, after}});
                call.attempt(1, server, 0);
                THEN("the attempt has failed") {
                    CHECK(call.has_failed(attempt_failure::disconnected));
                    CHECK_FALSE(call.has_response);
                }
            }
        }
    }
}

// A lost path looked like a slow target: an attempt that the deadline ended left no log line.
SCENARIO("an attempt that ends before its connection is open is counted") {
    GIVEN("a host that answers no attempt to connect") {
        const unanswering_host host;
        streamed_call call(false);
        call.attempt(1, host.address(), 0, std::chrono::milliseconds(100));
        REQUIRE_FALSE(call.outcome);
        WHEN("the attempt is cancelled") {
            call.call->cancel(attempt_id(1));
            THEN("it counts as never opened") {
                CHECK(call.metrics.exposition().find("attempts_unopened_total 1") !=
                      std::string::npos);
            }
        }
    }
    GIVEN("a target that has the request and does not respond") {
        http::scripted_server server({{""}});
        streamed_call call(false);
        call.attempt(1, server.address(), 0, std::chrono::milliseconds(100));
        WHEN("the attempt is cancelled") {
            call.call->cancel(attempt_id(1));
            THEN("it does not") {
                CHECK(call.metrics.exposition().find("attempts_unopened_total") ==
                      std::string::npos);
            }
        }
    }
    GIVEN("a target that refuses connections") {
        streamed_call call(false);
        const endpoint refusing = [] {
            const http::loopback_listener ended = http::loopback_listener::open();
            close(ended.socket);
            return ended.bound;
        }();
        call.attempt(1, refusing, 0, http::raw_caller::max_time);
        THEN("the attempt has failed as unreachable, and is counted as that") {
            CHECK(call.has_failed(attempt_failure::unreachable));
            CHECK(call.metrics.exposition().find("attempts_failed_total{kind=\"unreachable\"} 1") !=
                  std::string::npos);
            CHECK(call.metrics.exposition().find("attempts_unopened_total") == std::string::npos);
        }
    }
}

// Callers waited until their deadline for a target that answered with the status 000, and got the
// body of one that answered with 600.
SCENARIO("a response with a status that is none reaches no caller") {
    for (const char* status : {"000", "099", "600", "999"}) {
        for (const bool is_stream : {false, true}) {
            SUBCASE(("When: a server answers a " + std::string(is_stream ? "stream" : "call") +
                     " with the status " + status)
                        .c_str()) {
                streamed_call call(is_stream);
                http::scripted_server faulty(
                    {{"HTTP/1.1 " + std::string(status) + " None\r\nContent-Length: 2\r\n\r\nno"}});
                call.attempt(1, faulty.address(), 0, std::chrono::seconds(2));
                THEN("the attempt has failed at once, and another one can serve the caller") {
                    CHECK(call.has_failed(attempt_failure::broken));
                    CHECK_FALSE(call.has_response);
                    CHECK_FALSE(call.has_started);
                    http::scripted_server sound({{whole_stream(first_event + second_event)}});
                    call.attempt(2, sound, 0);
                    CHECK(call.delivered == first_event + second_event);
                }
            }
        }
    }
}

// A target that sends faster than its caller reads, or without end, must not fill the memory.
SCENARIO("a stream without end is held in memory up to a limit") {
    const std::string endless_head = stream_head + "\r\n";
    GIVEN("events without end") {
        constexpr std::size_t events_per_part = 100;
        const http::flooding_server server(endless_head, [](std::size_t part) {
            std::string events;
            for (std::size_t i = 1; i <= events_per_part; ++i) {
                events += "id: " + std::to_string(part * events_per_part + i) +
                          "\ndata: " + std::string(100, 'x') + "\n\n";
            }
            return events;
        });
        constexpr duration reading_time = std::chrono::milliseconds(500);
        /// The limit of what is unsent, and one read beyond it.
        constexpr std::size_t most_unsent = 128UL * 1024;
        streamed_call stream;
        WHEN("the caller reads nothing") {
            stream.attempt(1, server.address(), 0, reading_time);
            THEN("the target has to wait, and its attempt goes on") {
                CHECK(stream.is_paused);
                CHECK(stream.delivered.size() > 0);
                CHECK(stream.delivered.size() <= most_unsent);
                CHECK(stream.runner.http_client->budget().peak_bytes() <= 2 * most_unsent);
                CHECK_FALSE(stream.outcome);
                CHECK(server.open_count() == 1);
            }
            AND_WHEN("it reads what it got") {
                const std::size_t before = stream.delivered.size();
                stream.read_bytes = before;
                stream.call->stream_sent();
                CHECK_FALSE(stream.is_paused);
                stream.runner.pause_for(reading_time);
                THEN("it gets more, in order, up to the same limit") {
                    CHECK(stream.delivered.size() > before);
                    CHECK(stream.delivered.size() <= before + most_unsent);
                    CHECK(stream.is_paused);
                    CHECK_FALSE(stream.outcome);
                }
            }
            AND_WHEN("the attempt is cancelled") {
                stream.call->cancel(attempt_id(1));
                stream.runner.pause_for(reading_time);
                THEN("the target's connection is closed, and nothing is held") {
                    CHECK(server.open_count() == 0);
                    CHECK(stream.runner.http_client->budget().held_bytes() == 0);
                }
            }
        }
        WHEN("the caller reads at once") {
            stream.read_bytes = std::numeric_limits<std::size_t>::max();
            stream.attempt(1, server.address(), 0, reading_time);
            THEN("the target never waits") {
                CHECK_FALSE(stream.is_paused);
                CHECK(stream.delivered.size() > most_unsent);
                CHECK(stream.runner.http_client->budget().peak_bytes() <= 2 * most_unsent);
            }
        }
    }
    for (const std::string& part : {std::string("data: "), std::string("x\n"),
                                    std::string("data:\n"), std::string("id: 1\n")}) {
        SUBCASE(("Given: an event without end, of '" + part + "'").c_str()) {
            constexpr std::size_t part_bytes = 64UL * 1024;
            std::string filler;
            while (filler.size() < part_bytes) {
                filler += part;
            }
            const http::flooding_server server(endless_head, filler);
            streamed_call stream;
            stream.attempt(1, server.address(), 0, http::raw_caller::max_time);
            THEN("the attempt has failed, its connection is closed, and nothing is held") {
                CHECK(stream.has_failed(attempt_failure::broken));
                stream.runner.pause_for(std::chrono::milliseconds(100));
                CHECK(server.open_count() == 0);
                constexpr std::size_t event_limit = 1024UL * 1024;
                CHECK(stream.runner.http_client->budget().peak_bytes() <= 3 * event_limit);
                CHECK(stream.runner.http_client->budget().held_bytes() == 0);
            }
        }
    }
}

// Guards against usage of a client account that is reported too high or too low: a request counts
// once for each target that ran it.
SCENARIO("a request counts as begun at each target that ran it") {
    const auto runs_of = [](bool is_stream, const http::scripted_reply& reply) {
        streamed_call call(is_stream);
        http::scripted_server target({reply});
        call.attempt(1, target, 0);
        return call.runs;
    };
    const std::string failure = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
    const std::string not_run = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
    const std::string cut_short = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";
    GIVEN("a request to a plain service") {
        CHECK(runs_of(false, {failure}) == 1);
        CHECK(runs_of(false, {cut_short, ending::close}) == 1);
        CHECK(runs_of(false, {not_run}) == 0);
        THEN("it counts also where the target ended before it answered") {
            CHECK(runs_of(false, {"", ending::reset}) == 1);
        }
    }
    GIVEN("a stream") {
        CHECK(runs_of(true, {whole_stream(first_event + second_event)}) == 1);
        THEN("it does not count before its first event") {
            CHECK(runs_of(true, {not_run}) == 0);
            CHECK(runs_of(true, {failure}) == 0);
            CHECK(runs_of(true, {stream_head + "Content-Length: 9\r\n\r\n", ending::close}) == 0);
        }
    }
    GIVEN("a stream that another target resumes") {
        streamed_call stream;
        http::scripted_server first(
            {{stream_head + "Content-Length: 100\r\n\r\n" + first_event, ending::close}});
        stream.attempt(1, first, 0);
        http::scripted_server second({{whole_stream(second_event)}});
        stream.attempt(2, second, 1);
        CHECK(stream.runs == 2);
    }
    GIVEN("a request without an answer yet") {
        streamed_call call(false);
        http::scripted_server target({{""}});
        call.attempt(1, target.address(), 0, std::chrono::milliseconds(1200));
        CHECK(call.runs == 0);
        call.call->count_open_runs();
        CHECK(call.runs == 1);
        THEN("it counts once, also when it is cancelled later") {
            call.call->cancel(attempt_id(1));
            CHECK(call.runs == 1);
        }
    }
}
