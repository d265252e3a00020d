#include "keeper/internal/platform_calls.h"

#include "base/system_clock.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;
using namespace std::chrono_literals;
using duties::call_outcome;

namespace {

constexpr std::int64_t body_limit = 1000;

http::request make_request(const std::string& body) {
    http::request request;
    request.method = "POST";
    request.url = "/call";
    request.content_type = "text/plain";
    request.body = body;
    request.repeatable = false;
    return request;
}

/// A platform API whose responses the test sends, and a keeper that may call it.
class fixture {
public:
    fixture() {
        this->loop.enter();
        auto opened = value_or_error([&] {
            return http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                      [this](std::unique_ptr<http::exchange> received) {
                                          this->bodies.push_back(received->body());
                                          this->requests.push_back(std::move(received));
                                      });
        });
        this->api = std::move(std::get<std::unique_ptr<http::server>>(opened));
        platform_calls::parameters arguments;
        arguments.holder = instance_id("k");
        arguments.protocol.report_usage = [](const duties::usage_report& report,
                                             const call_holder& holder) {
            return make_request("usage " + std::to_string(report.window) + " fence " +
                                std::to_string(holder.fence.value()));
        };
        arguments.protocol.order_scale = [](const duties::scale_order& order, const call_holder&) {
            return make_request("scale " + std::to_string(order.desired));
        };
        arguments.protocol.parse_outcome = [](const http::response_head& head) {
            return head.status == 200   ? call_outcome::accepted
                   : head.status == 429 ? call_outcome::busy
                                        : call_outcome::unknown;
        };
        arguments.platform = this->api->address();
        arguments.time = &this->time;
        arguments.calls_per_second = 50;
        arguments.authority = [this] {
            ++this->checks;
            return this->checks > this->lost_after_checks ? std::nullopt : this->fence;
        };
        arguments.metrics = &this->metrics;
        this->calls = std::make_unique<platform_calls>(std::move(arguments));
    }
    ~fixture() {
        this->calls.reset();
        this->requests.clear();
        this->api.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void report(std::uint64_t window) {
        this->calls->send(duties::usage_report{window, {}},
                          [this](call_outcome outcome) { this->outcomes.push_back(outcome); });
    }
    /// Runs the event loop until the condition holds; returns false after 10 seconds.
    template <typename Condition>
    bool run_until(Condition condition) {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            g_main_context_iteration(this->loop.context(), FALSE);
            g_usleep(1000);
        }
        return condition();
    }
    void run_for(duration time) {
        const auto end = std::chrono::steady_clock::now() + time;
        this->run_until([&] { return std::chrono::steady_clock::now() >= end; });
    }
    void respond(std::size_t index, int status) {
        this->requests.at(index)->respond(status, "text/plain", "");
    }

    system_clock time;
    task::event_loop loop;
    telemetry::metric_set metrics;
    std::unique_ptr<http::server> api;
    std::vector<std::unique_ptr<http::exchange>> requests;
    std::vector<std::string> bodies;
    std::optional<fencing_token> fence = fencing_token(3);
    int checks = 0;
    /// The authority is lost after so many checks of it.
    int lost_after_checks = 1000000;
    std::vector<call_outcome> outcomes;
    std::unique_ptr<platform_calls> calls;
};

} // namespace

SCENARIO("a keeper calls the platform's API") {
    fixture test;
    test.report(7);

    GIVEN("an API that accepts the report") {
        REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
        CHECK(test.bodies[0] == "usage 7 fence 3");
        test.respond(0, 200);
        THEN("it is sent once") {
            REQUIRE(test.run_until([&] { return test.outcomes.size() == 1; }));
            CHECK(test.outcomes[0] == call_outcome::accepted);
            test.run_for(400ms);
            CHECK(test.requests.size() == 1);
        }
    }
    GIVEN("an API that is busy, then resets the connection, then is silent") {
        REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
        test.report(8);
        test.respond(0, 429);
        REQUIRE(test.run_until([&] { return test.requests.size() == 2; }));
        test.requests[1].reset();
        THEN("the same report is repeated until it is accepted, before the next one") {
            REQUIRE(test.run_until([&] { return test.requests.size() == 4; }));
            CHECK(test.outcomes.empty());
            test.respond(3, 200);
            REQUIRE(test.run_until([&] { return test.requests.size() == 5; }));
            CHECK(test.bodies == std::vector<std::string>{"usage 7 fence 3", "usage 7 fence 3",
                                                          "usage 7 fence 3", "usage 7 fence 3",
                                                          "usage 8 fence 3"});
        }
    }
    // A process that was frozen between its last contact with the other keepers and the write.
    GIVEN("a keeper that loses its authority while the connection opens") {
        test.lost_after_checks = 2;
        THEN("nothing is written, and the call is repeated once the authority is back") {
            test.run_for(500ms);
            CHECK(test.requests.empty());
            CHECK(test.checks > 2);
            test.lost_after_checks = 1000000;
            test.fence = fencing_token(5);
            REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
            CHECK(test.bodies[0] == "usage 7 fence 5");
        }
    }
    GIVEN("a keeper that loses its leadership during a call") {
        REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
        test.calls->leadership_changed(false);
        THEN("the call ends as unknown and is not repeated") {
            CHECK(test.outcomes == std::vector<call_outcome>{call_outcome::unknown});
            test.run_for(500ms);
            CHECK(test.requests.size() == 1);
        }
    }
}
