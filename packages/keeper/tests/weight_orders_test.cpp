#include "keeper/internal/weight_orders.h"

#include "base/system_clock.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;

namespace {

constexpr std::int64_t body_limit = 1000;

/// Bodies of the engine reports that were parsed.
std::vector<std::string> parsed_reports;
endpoint engine_address;

http::request make_report_request(const membership::target_record& /*target*/) {
    http::request request;
    request.url = "http://" + engine_address.to_string() + "/report";
    return request;
}

outcome<rollout::engine_report> parse_report(std::string_view body) {
    parsed_reports.emplace_back(body);
    return rollout::engine_report{};
}

/// Weight orders for one engine, whose responses the test sends.
class fixture {
public:
    fixture() {
        parsed_reports.clear();
        this->loop.enter();
        auto opened = value_or_error([&] {
            return http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                      [this](std::unique_ptr<http::exchange> received) {
                                          this->requests.push_back(std::move(received));
                                      });
        });
        this->engine = std::move(std::get<std::unique_ptr<http::server>>(opened));
        engine_address = this->engine->address();
        membership::target_record record;
        record.id = target_id("e");
        record.backend = backend_name("llm");
        record.address = engine_address;
        this->targets.apply_update(record, std::chrono::hours(1), this->time.now());

        weight_orders::parameters arguments;
        arguments.holder = instance_id("k");
        arguments.protocol.request_report = &make_report_request;
        arguments.protocol.parse_report = &parse_report;
        arguments.protocol.is_leaving = [](const http::response_head&) { return false; };
        arguments.protocol.limit_of = [](const http::response_head&, std::string_view) {
            return permits::limit_statement{};
        };
        arguments.targets = &this->targets;
        arguments.time = &this->time;
        arguments.fence = [] { return fencing_token(1); };
        arguments.may_order = [] { return false; };
        this->orders = std::make_unique<weight_orders>(
            std::move(arguments),
            weight_orders::callbacks{[](const auto&, auto) {}, [](const auto&) {},
                                     [](const auto&, auto, const auto&, auto) {},
                                     [](const auto&, const auto&, auto) {},
                                     [](const auto&, bool) {}});
        rollout::service_models service;
        service.service = backend_name("llm");
        service.models.emplace_back("m");
        this->orders->dispatch(rollout::services_changed{{service}});
        rollout::engine_weights state;
        state.engine = record.id;
        state.service = record.backend;
        this->orders->dispatch(rollout::engine_updated{state, false});
        this->orders->dispatch(rollout::model_version{model_name("m"), weight_version(2)});
        this->orders->leadership_changed(true);
    }
    ~fixture() {
        this->orders.reset();
        this->requests.clear();
        this->engine.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    /// Runs the event loop until the condition holds; returns false after 10 seconds.
    template <typename Condition>
    bool run_until(Condition condition) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            g_main_context_iteration(this->loop.context(), FALSE);
            g_usleep(1000);
        }
        return condition();
    }

    system_clock time;
    task::event_loop loop;
    std::unique_ptr<http::server> engine;
    std::vector<std::unique_ptr<http::exchange>> requests;
    membership::directory targets{location{}};
    std::unique_ptr<weight_orders> orders;
};

} // namespace

SCENARIO("a response read after the timeout is not taken for the response to a later call") {
    for (int iterations = 0; iterations < 6; ++iterations) {
        CAPTURE(iterations);
        fixture test;
        GIVEN("an engine that has sent its report, and a process that is then suspended") {
            REQUIRE(test.run_until([&] { return test.requests.size() == 1; }));
            test.requests[0]->respond(200, "text/plain", "old");
            // The number of iterations sets how much of the response is read before the process is
            // suspended.
            for (int i = 0; i < iterations; ++i) {
                g_main_context_iteration(test.loop.context(), FALSE);
            }
            constexpr gulong longer_than_timeout_us = 1300000;
            g_usleep(longer_than_timeout_us);
            THEN("the resumed process takes that response as a whole or requests a new report") {
                REQUIRE(test.run_until(
                    [&] { return !parsed_reports.empty() || test.requests.size() == 2; }));
                if (parsed_reports.empty()) {
                    test.requests[1]->respond(200, "text/plain", "new");
                    REQUIRE(test.run_until([] { return !parsed_reports.empty(); }));
                    CHECK(parsed_reports.front() == "new");
                } else {
                    CHECK(parsed_reports.front() == "old");
                }
            }
        }
    }
}
