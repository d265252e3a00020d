#include "process/deployment.h"
#include "process/fleet.h"
#include "process/replica_paths.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, 3> gateway_ips = {"127.0.0.4", "127.0.0.6", "127.0.0.7"};
constexpr std::size_t replica_count = 4;
/// Time after a cut began from which callers of the gateway are served as those of the others.
constexpr duration recovery_time = 1s;
/// Share of calls served at gateways that are cut off, of that at the others.
constexpr double min_served_ratio = 0.95;

/// A request that its caller sent once.
struct caller_request {
    std::size_t gateway;
    time_point sent_at;
    std::unique_ptr<client_call> call;
};

/// Three gateways and four replicas of a plain service.
struct paths_test {
    deployment test_deployment;
    /// Null for a gateway that is never cut off.
    std::array<std::unique_ptr<replica_paths>, gateway_ips.size()> paths;
    std::unique_ptr<fleet> test_fleet;
    std::vector<std::unique_ptr<stand_ins::crashing_replica>> replicas;
    std::vector<caller_request> requests;

    /// `cut_off` are the gateways that the test cuts off from replicas.
    [[nodiscard]] bool start(const std::vector<std::size_t>& cut_off) {
        for (const std::size_t gateway : cut_off) {
            this->paths[gateway] = std::make_unique<replica_paths>(
                this->test_deployment.path_of(std::string("routes-") + gateway_ips[gateway]));
        }
        fleet_options options;
        options.gateway_environment = this->environment(0);
        this->test_fleet = std::make_unique<fleet>(this->test_deployment, options);
        for (std::size_t i = 0; i < replica_count; ++i) {
            this->replicas.push_back(
                this->test_fleet->add_plain_replica("plain" + std::to_string(i), ""));
            for (const std::size_t gateway : cut_off) {
                this->paths[gateway]->add(this->replicas.back()->address());
            }
        }
        if (!this->test_fleet->wait_until_ready()) {
            return false;
        }
        for (std::size_t i = 1; i < gateway_ips.size(); ++i) {
            const std::string ip = gateway_ips[i];
            this->test_deployment.add_process(
                "gateway-" + ip, this->test_fleet->gateway_settings(ip, ip, "127.0.0.2"),
                RLIM_INFINITY, this->environment(i));
        }
        return std::all_of(gateway_ips.begin(), gateway_ips.end(), [&](const char* ip) {
            return this->test_deployment.run_until([&] {
                return this->test_fleet->reports_ready(ip) &&
                       this->test_deployment.call(this->test_fleet->plain_request(ip, "w", "w"))
                               ->head.status == 200;
            });
        });
    }

    /// Sends requests to all gateways in turn.
    void send_for(duration time) {
        constexpr duration interval = 15ms;
        const time_point end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const std::size_t number = this->requests.size();
            const std::size_t gateway = number % gateway_ips.size();
            this->requests.push_back({gateway, std::chrono::steady_clock::now(),
                                      this->test_deployment.begin(this->test_fleet->plain_request(
                                          gateway_ips[gateway], "call" + std::to_string(number),
                                          "body" + std::to_string(number)))});
            this->test_deployment.wait(interval);
        }
    }

    [[nodiscard]] bool wait_for_responses() {
        return this->test_deployment.run_until([&] {
            return std::all_of(this->requests.begin(), this->requests.end(),
                               [](const auto& request) { return request.call->is_completed; });
        });
    }

    /// Share of the requests sent to the gateway between these times that were served.
    [[nodiscard]] double served_share(std::size_t gateway, time_point begin, time_point end) const {
        double sent = 0;
        double served = 0;
        for (const caller_request& request : this->requests) {
            if (request.gateway == gateway && request.sent_at >= begin && request.sent_at < end) {
                sent += 1;
                served += request.call->head.status == 200 ? 1 : 0;
            }
        }
        return served / sent;
    }

private:
    [[nodiscard]] std::vector<std::string> environment(std::size_t gateway) const {
        return this->paths[gateway] ? this->paths[gateway]->environment()
                                    : std::vector<std::string>();
    }
};

} // namespace

// A gateway that had lost its links to all replicas sent each call to them until its deadline, or
// refused it, while its neighbours could have served it.
SCENARIO("callers of a gateway that reaches no replica are served as those of the others") {
    paths_test test;
    GIVEN("three gateways and four replicas") {
        WHEN("the connections of one gateway to the replicas fail in one way after the other") {
            REQUIRE(test.start({2}));
            for (const path_fault fault :
                 {path_fault::hang, path_fault::refuse, path_fault::refuse_and_silence,
                  path_fault::reset_and_hang, path_fault::reset_and_refuse}) {
                test.send_for(500ms);
                test.paths[2]->cut(fault);
                const time_point begin = std::chrono::steady_clock::now() + recovery_time;
                test.send_for(recovery_time + 2s);
                const time_point end = std::chrono::steady_clock::now();
                REQUIRE(test.wait_for_responses());
                test.paths[2]->heal();
                test.send_for(recovery_time);
                const double elsewhere =
                    std::min(test.served_share(0, begin, end), test.served_share(1, begin, end));
                const double at_cut_off = test.served_share(2, begin, end);
                INFO(name_of(fault), ": served at the gateway ", at_cut_off, ", at the others ",
                     elsewhere);
                CHECK(elsewhere >= min_served_ratio);
                CHECK(at_cut_off >= min_served_ratio * elsewhere);
            }
        }
    }
}

} // namespace kingcupcart::process_tests
