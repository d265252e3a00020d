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

/// What was read of engines' reports.
std::vector<std::string> read_reports;
endpoint engine_address;

http::request ask(const membership::target_record& /*target*/) {
    http::request wanted;
    wanted.url = "http://" + engine_address.to_string() + "/report";
    return wanted;
}

outcome<rollout::engine_reported> read(std::string_view body) {
    read_reports.emplace_back(body);
    return rollout::engine_reported{};
}

/// Orders to one engine that answers when the test says so.
class fixture {
public:
    fixture() {
        read_reports.clear();
        this->loop.enter();
        auto opened = value_or_error([&] {
            return http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                      [this](std::unique_ptr<http::exchange> arrived) {
                                          this->asked.push_back(std::move(arrived));
                                      });
        });
        this->engine = std::move(std::get<std::unique_ptr<http::server>>(opened));
        engine_address = this->engine->address();
        membership::target_record record;
        record.id = target_id("e");
        record.backend = backend_name("llm");
        record.address = engine_address;
        this->targets.learn(record, std::chrono::hours(1), this->time.now());

        weight_orders::parameters arguments;
        arguments.holder = instance_id("k");
        arguments.port.ask_report = &ask;
        arguments.port.read_report = &read;
        arguments.targets = &this->targets;
        arguments.time = &this->time;
        arguments.fence = [] { return fencing_number(1); };
        arguments.may_order = [] { return false; };
        this->orders = std::make_unique<weight_orders>(
            std::move(arguments), weight_orders::callbacks{[](const auto&, const auto&, auto) {},
                                                           [](const auto&, bool) {}});
        rollout::service_models service;
        service.service = backend_name("llm");
        service.models.emplace_back("m");
        this->orders->tell_planner(rollout::services_changed{{service}});
        rollout::engine_weights seen;
        seen.engine = record.id;
        seen.service = record.backend;
        this->orders->tell_planner(rollout::engine_seen{seen, false});
        this->orders->tell_planner(rollout::version_named{model_name("m"), weight_version(2)});
        this->orders->leadership_changed(true);
    }
    ~fixture() {
        this->orders.reset();
        this->asked.clear();
        this->engine.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->loop.leave();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    /// Lets the loop run until the condition holds; false after some seconds.
    template <typename Condition>
    bool run_until(Condition holds) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!holds() && std::chrono::steady_clock::now() < limit) {
            g_main_context_iteration(this->loop.context(), FALSE);
            g_usleep(1000);
        }
        return holds();
    }

    system_clock time;
    task::event_loop loop;
    std::unique_ptr<http::server> engine;
    std::vector<std::unique_ptr<http::exchange>> asked;
    membership::directory targets{location{}};
    std::unique_ptr<weight_orders> orders;
};

} // namespace

SCENARIO("an engine whose answer is read after the limit does not answer for a later call") {
    for (int turns = 0; turns < 6; ++turns) {
        CAPTURE(turns);
        fixture test;
        GIVEN("a report that was answered, and a process that then stands still") {
            REQUIRE(test.run_until([&] { return test.asked.size() == 1; }));
            test.asked[0]->respond(200, "text/plain", "old");
            // How far the answer has come when the process stops.
            for (int i = 0; i < turns; ++i) {
                g_main_context_iteration(test.loop.context(), FALSE);
            }
            constexpr gulong beyond_the_limit_us = 1300000;
            g_usleep(beyond_the_limit_us);
            THEN("it goes on, and takes that answer whole or asks again") {
                REQUIRE(test.run_until(
                    [&] { return !read_reports.empty() || test.asked.size() == 2; }));
                if (read_reports.empty()) {
                    test.asked[1]->respond(200, "text/plain", "new");
                    REQUIRE(test.run_until([] { return !read_reports.empty(); }));
                    CHECK(read_reports.front() == "new");
                } else {
                    CHECK(read_reports.front() == "old");
                }
            }
        }
    }
}
