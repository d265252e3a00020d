#include "process/deployment.h"
#include "process/fleet.h"
#include "stand_ins/platform_api.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using stand_ins::platform_api;

// Guards against a demand that does not reach the keeper which orders, and orders that are lost or
// repeated with other numbers when the platform does not answer.
SCENARIO("replicas are ordered for the steps that were submitted") {
    deployment test_deployment;
    auto opened = value_or_error([] { return platform_api::open(endpoint{"127.0.0.1", 0}); });
    const auto api = std::move(std::get<std::unique_ptr<platform_api>>(opened));
    fleet_options options;
    options.engine_scaling = R"({"max": 9, "zonePrices": {"local": 1, "far": 1.2}})";
    options.further_settings =
        "[duties]\nplatform = " + api->address().to_string() + "\ncarry-out = autoscale\n";
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    const auto ordered = [&](const char* domain) {
        const auto found = api->desired_replicas().find({"lm", domain, false});
        return found == api->desired_replicas().end() ? 0 : found->second;
    };
    GIVEN("a step of 20 items at engines of 4 slots, and a platform that is silent at first") {
        api->set_mode(platform_api::mode::silent);
        std::vector<std::string> items;
        for (int i = 0; i < 20; ++i) {
            items.push_back("i" + std::to_string(i));
        }
        REQUIRE(
            test_deployment.call(test_fleet.submit_job_request("step", items, 1))->head.status ==
            202);
        REQUIRE(test_deployment.run_until([&] { return api->call_count() >= 4; }));
        api->set_mode(platform_api::mode::accepting);
        THEN("each failure domain is ordered to have its half of the ten that two steps need") {
            CHECK(test_deployment.run_until(
                [&] { return ordered("local") >= 5 && ordered("far") >= 5; }));
            // A quarter more are needed while the step is late.
            CHECK(ordered("local") + ordered("far") <= 13);
            CHECK(api->violations().empty());
        }
    }
}
