#include "process/client_stream.h"
#include "process/deployment.h"
#include "process/fleet.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, 3> gateway_ips = {"127.0.0.4", "127.0.0.6", "127.0.0.7"};
constexpr int stream_events = 12;
constexpr duration event_interval = 40ms;
/// Time limit for the refusal of a request that cannot be served.
constexpr duration refusal_time = 1s;

using client_streams = std::vector<std::unique_ptr<client_stream>>;

std::ptrdiff_t count_mixed(const client_streams& streams) {
    return std::count_if(streams.begin(), streams.end(),
                         [](const auto& stream) { return stream->versions().size() > 1; });
}

/// Whether all threads of the process are stopped by a signal.
bool is_stopped(const child_process& process) {
    const std::filesystem::path tasks = "/proc/" + std::to_string(process.id()) + "/task";
    const std::filesystem::directory_iterator threads(tasks);
    return std::all_of(begin(threads), end(threads), [](const auto& thread) {
        std::ifstream file(thread.path() / "stat");
        std::string text;
        std::getline(file, text);
        // The state follows the name, which is in parentheses.
        const auto name_end = text.rfind(')');
        return name_end != std::string::npos && text.substr(name_end + 2, 1) == "T";
    });
}

} // namespace

// A take-up went to any replica of the service, so that one stream held events of two software
// versions.
SCENARIO("a stream that is taken up goes on at the software version that began it") {
    deployment test_deployment;
    fleet_options options;
    options.group_size = 3;
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    std::vector<child_process*> gateways = {&test_fleet.gateway()};
    for (const char* ip : {gateway_ips[1], gateway_ips[2]}) {
        gateways.push_back(&test_deployment.add_process(
            std::string("gateway-") + ip, test_fleet.gateway_settings(ip, ip, "127.0.0.2")));
        REQUIRE(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
    }
    std::vector<std::unique_ptr<stand_ins::platform_replica>> replicas;
    task::wakeup heartbeats([&] {
        for (const auto& replica : replicas) {
            replica->send_heartbeat();
        }
        heartbeats.arm(std::chrono::steady_clock::now() + 300ms);
    });
    heartbeats.arm_now();
    const auto add_replicas = [&](const std::string& software) {
        for (int i = 0; i < 3; ++i) {
            replicas.push_back(test_fleet.add_chat_replica(
                "chat-" + software + std::to_string(i), software, stream_events, event_interval));
        }
    };
    /// Whether all gateways know all replicas, the engine and the plain service's replica.
    const auto are_replicas_known = [&] {
        return test_deployment.run_until([&] {
            return std::all_of(gateways.begin(), gateways.end(), [&](child_process* gateway) {
                const auto status =
                    nlohmann::json::parse(test_deployment.status(*gateway), nullptr, false);
                return status.is_object() && status.contains("gateway") &&
                       status["gateway"].value("targets", std::size_t{0}) == replicas.size() + 2;
            });
        });
    };

    client_streams streams;
    const auto begin_streams = [&](std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            streams.push_back(
                std::make_unique<client_stream>(test_deployment, "talk" + std::to_string(i)));
            streams.back()->begin(test_fleet.callers_at(gateway_ips[i % gateway_ips.size()]));
        }
    };
    /// Waits until every stream has the event or has ended.
    const auto wait_for_event = [&](int number) {
        REQUIRE(test_deployment.run_until([&] {
            return std::all_of(streams.begin(), streams.end(), [&](const auto& stream) {
                return stream->has_event(number) || stream->is_ended();
            });
        }));
    };
    const auto count_going_on = [&] {
        return std::count_if(streams.begin(), streams.end(),
                             [](const auto& stream) { return stream->goes_on(); });
    };
    const auto leave_all = [&] {
        for (const auto& stream : streams) {
            stream->leave();
        }
    };
    std::mt19937_64 random(1);
    /// Takes the streams up in random order, each `step` gateways after the one that began it;
    /// there are `gateway_count` gateways left.
    const auto take_up_all = [&](std::size_t step, std::size_t gateway_count) {
        std::vector<std::size_t> order(streams.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::shuffle(order.begin(), order.end(), random);
        for (const std::size_t i : order) {
            streams[i]->take_up(test_fleet.callers_at(gateway_ips[(i + step) % gateway_count]));
        }
    };

    GIVEN("three gateways, and three replicas of each of two software versions in one service") {
        add_replicas("v1");
        add_replicas("v2");
        REQUIRE(are_replicas_known());
        constexpr std::ptrdiff_t count = 30;
        begin_streams(count);
        wait_for_event(4);
        REQUIRE(count_going_on() == count);

        WHEN("the clients leave and take their streams up at two other gateways in turn") {
            leave_all();
            take_up_all(1, gateway_ips.size());
            wait_for_event(8);
            CHECK(count_going_on() == count);
            leave_all();
            take_up_all(2, gateway_ips.size());
            wait_for_event(stream_events);
            THEN("all streams go on, and none holds events of two versions") {
                CHECK(count_going_on() == count);
                CHECK(count_mixed(streams) == 0);
            }
        }
        WHEN("the clients take their streams up at the gateway that began them") {
            leave_all();
            take_up_all(0, gateway_ips.size());
            wait_for_event(stream_events);
            THEN("all streams go on, and none holds events of two versions") {
                CHECK(count_going_on() == count);
                CHECK(count_mixed(streams) == 0);
            }
        }
        WHEN("a gateway is killed and the clients take their streams up at another one") {
            gateways[2]->signal(SIGKILL);
            gateways[2]->wait();
            leave_all();
            take_up_all(1, 2);
            wait_for_event(stream_events);
            THEN("nearly all streams go on, and none holds events of two versions") {
                CHECK(count_going_on() * 100 >= count * 95);
                CHECK(count_mixed(streams) == 0);
            }
        }
        WHEN("a keeper is restarted before the clients take their streams up") {
            test_fleet.restart_keeper(1);
            leave_all();
            take_up_all(1, gateway_ips.size());
            wait_for_event(stream_events);
            THEN("nearly all streams go on, and none holds events of two versions") {
                CHECK(count_going_on() * 100 >= count * 95);
                CHECK(count_mixed(streams) == 0);
            }
        }
        WHEN("no keeper answers") {
            const auto signal_keepers = [&](int signal_number) {
                for (std::size_t i = 0; i < options.group_size; ++i) {
                    test_fleet.keeper(i).signal(signal_number);
                }
            };
            // Stopped keepers would not end with the fleet.
            const std::shared_ptr<void> resumption(nullptr,
                                                   [&](void*) { signal_keepers(SIGCONT); });
            signal_keepers(SIGSTOP);
            REQUIRE(test_deployment.run_until([&] {
                bool are_stopped = true;
                for (std::size_t i = 0; i < options.group_size; ++i) {
                    are_stopped = are_stopped && is_stopped(test_fleet.keeper(i));
                }
                return are_stopped;
            }));
            leave_all();
            take_up_all(1, gateway_ips.size());
            THEN("the other gateways refuse them as not run, and the one that began them knows "
                 "them") {
                wait_for_event(stream_events);
                CHECK(count_going_on() == 0);
                for (const auto& stream : streams) {
                    CHECK(stream->call().head.status == 503);
                }
                take_up_all(0, gateway_ips.size());
                wait_for_event(stream_events);
                CHECK(count_going_on() == count);
                CHECK(count_mixed(streams) == 0);
            }
            AND_WHEN("the clients leave before that, and the gateways stop") {
                test_deployment.wait(30ms);
                leave_all();
                for (child_process* gateway : gateways) {
                    gateway->signal(SIGTERM);
                }
                THEN("the gateways end without fault") {
                    for (child_process* gateway : gateways) {
                        CHECK(gateway->wait() == 0);
                    }
                }
            }
        }
        WHEN("the gateways are restarted one after the other before each take-up") {
            std::ptrdiff_t going_on = 0;
            for (std::size_t i = 0; i < gateways.size(); ++i) {
                gateways[i]->signal(SIGTERM);
                leave_all();
                gateways[i]->wait();
                const std::string ip = gateway_ips[i];
                gateways[i] = &test_deployment.add_process(
                    "successor-" + ip, test_fleet.gateway_settings(ip, ip, "127.0.0.2"));
                REQUIRE(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
                take_up_all(i + 1, gateway_ips.size());
                wait_for_event(6 + 2 * static_cast<int>(i));
                going_on += count_going_on();
            }
            MESSAGE("take-ups that go on: ", going_on, " of ", 3 * count);
            THEN("nearly all take-ups go on, and no stream holds events of two versions") {
                CHECK(going_on * 100 >= 3 * count * 95);
                CHECK(count_mixed(streams) == 0);
            }
        }
        WHEN("a client takes up a stream that nobody knows") {
            leave_all();
            client_stream unknown(test_deployment, "unknown", 4);
            const auto begin = std::chrono::steady_clock::now();
            unknown.take_up(test_fleet.callers());
            REQUIRE(test_deployment.run_until([&] { return unknown.is_ended(); }));
            THEN("it is refused at once as not run") {
                CHECK(unknown.call().head.status == 503);
                CHECK(std::chrono::steady_clock::now() - begin < refusal_time);
                for (const auto& replica : replicas) {
                    const auto& executed = replica->executed_request_ids();
                    CHECK(std::count(executed.begin(), executed.end(), "unknown-2") == 0);
                }
            }
        }
    }
}

} // namespace kingcupcart::process_tests
