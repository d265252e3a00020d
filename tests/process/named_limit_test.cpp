#include "process/deployment.h"
#include "process/fleet.h"
#include "process/limit_check.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

// Each gateway sent as if it were alone, so a target got several times the rate that it had named
// for all of them together.
SCENARIO("a target gets no more requests from all gateways than the rate that it names") {
    deployment test_deployment;
    fleet test_fleet(test_deployment);
    REQUIRE(test_fleet.wait_until_ready());
    const std::array<const char*, 3> gateways = {"127.0.0.4", "127.0.0.6", "127.0.0.7"};
    for (const char* ip : {gateways[1], gateways[2]}) {
        test_deployment.add_process(std::string("gateway-") + ip,
                                    test_fleet.gateway_settings(ip, ip, "127.0.0.2"));
        REQUIRE(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
    }
    std::vector<std::unique_ptr<client_call>> calls;
    const auto send_for = [&](duration time, duration interval) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const std::size_t number = calls.size();
            http::request request =
                test_fleet.booking_request("limited" + std::to_string(number), "");
            request.url = test_fleet.callers_at(gateways[number % gateways.size()]) + "/b/";
            calls.push_back(test_deployment.begin(request));
            test_deployment.wait(interval);
        }
    };

    GIVEN("a plain service that names one request a second, and callers with eight a second") {
        test_fleet.service().name_limit("1");
        const time_point begin = std::chrono::steady_clock::now();
        send_for(std::chrono::seconds(14), std::chrono::milliseconds(125));
        THEN("it gets what it named, and the others are refused at once as not run") {
            const auto& arrivals = test_fleet.service().arrivals();
            CHECK(most_in_window(arrivals, begin + limit_settling_time) <= allowed_in_window(1));
            const auto served =
                std::count_if(arrivals.begin(), arrivals.end(), [&](const time_point& arrival) {
                    return arrival >= begin + limit_settling_time;
                });
            CHECK(served >= 8);
            for (const auto& call : calls) {
                REQUIRE(test_deployment.run_until([&] { return call->is_completed; }));
                const bool is_answered = call->head.status == 200;
                const bool is_refused =
                    call->head.status == 503 && !call->header("Retry-After").empty();
                CHECK((is_answered || is_refused));
            }
        }
        AND_WHEN("it names the limit no longer") {
            test_fleet.service().name_limit("");
            send_for(std::chrono::seconds(3), std::chrono::milliseconds(125));
            const std::size_t first = calls.size();
            send_for(std::chrono::seconds(2), std::chrono::milliseconds(125));
            THEN("all requests are served again") {
                for (std::size_t i = first; i < calls.size(); ++i) {
                    REQUIRE(test_deployment.run_until([&] { return calls[i]->is_completed; }));
                    CHECK(calls[i]->head.status == 200);
                }
            }
        }
    }

    GIVEN("an engine that names two requests a second, and a job of forty items") {
        test_fleet.engine().name_limit("2");
        const time_point begin = std::chrono::steady_clock::now();
        std::vector<std::string> items;
        for (int i = 0; i < 40; ++i) {
            items.push_back("item" + std::to_string(i));
        }
        REQUIRE(test_deployment.call(test_fleet.submit_job_request("limited-job", items, 1))
                    ->head.status == 202);
        test_deployment.wait(std::chrono::seconds(14));
        THEN("runs start at the named rate") {
            const auto& arrivals = test_fleet.engine().arrivals();
            CHECK(most_in_window(arrivals, begin) <= allowed_in_window(2));
            CHECK(test_fleet.results("limited-job", 20).size() >= 20);
        }
    }
}

} // namespace kingcupcart::process_tests
