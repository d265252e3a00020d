#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"
#include "store/internal/item_run.h"

#include <doctest/doctest.h>

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>

using namespace kingcupcart;
using namespace kingcupcart::store;
using ending = http::scripted_reply::ending;

namespace {

engines::response_kind classify(const http::response_head& /*head*/, std::string_view /*name*/) {
    return engines::response_kind::matching;
}

std::optional<weight_version> weight_version_of(const http::response_head& /*head*/) {
    return weight_version(1);
}

std::optional<engines::stream_event> parse_event(const completions::server_sent_event& event) {
    engines::stream_event parsed;
    std::from_chars(event.id.data(), event.id.data() + event.id.size(), parsed.number);
    parsed.data = event.data;
    return parsed;
}

std::string make_event(int number) {
    return "id: " + std::to_string(number) + "\ndata: d\n\n";
}

/// A run of an item, and the messages that it sends to the scheduler.
struct observed_run {
    http::raw_caller runner;
    partial_text text;
    std::optional<item_run> run;
    std::size_t reported_event = 0;
    std::optional<batch::scheduler_message> end;

    observed_run() {
        item_run::parameters arguments;
        arguments.protocol.classify_response = &classify;
        arguments.protocol.weight_version_of = &weight_version_of;
        arguments.protocol.parse_event = &parse_event;
        arguments.text = &this->text;
        arguments.head_received = [](const http::response_head&) {};
        this->run.emplace(arguments, [this](const batch::scheduler_message& message) {
            if (const auto* progressed = std::get_if<batch::run_progressed>(&message)) {
                this->reported_event = progressed->last_event;
            } else {
                this->end = message;
                this->runner.loop.quit();
            }
        });
    }
    ~observed_run() { this->run.reset(); }
    observed_run(const observed_run&) = delete;
    observed_run& operator=(const observed_run&) = delete;

    void receive(const http::scripted_server& engine) {
        this->run->start(*this->runner.http_client, http::make_request(engine.address(), "POST"));
        this->runner.pause_for(http::raw_caller::max_time);
    }
};

} // namespace

// Guards against an item that no engine can resume: its next run was asked for events that its text
// held already.
SCENARIO("the events before one that is out of order are reported with their run") {
    observed_run item;
    GIVEN("an engine that sends two events and one out of order at once") {
        const http::scripted_server engine(
            {{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + make_event(1) +
                  make_event(2) + make_event(4),
              ending::close}});
        item.receive(engine);
        THEN("the run fails, and the scheduler knows of all events that the text holds") {
            REQUIRE(item.end);
            CHECK(std::holds_alternative<batch::run_failed>(*item.end));
            CHECK(item.text.last_event == 2);
            CHECK(item.reported_event == 2);
        }
    }
}
