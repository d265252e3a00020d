#include "process/client_stream.h"
#include "process/deployment.h"
#include "process/fleet.h"
#include "process/limit_check.h"
#include "process/replica_paths.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <memory>
#include <numeric>
#include <sstream>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

namespace {

using namespace std::chrono_literals;

constexpr std::array<const char*, 3> gateway_ips = {"127.0.0.4", "127.0.0.6", "127.0.0.7"};
constexpr std::size_t service_count = 2;
constexpr std::size_t replica_count = 4;
constexpr int stream_events = 40;
constexpr duration event_interval = 40ms;
/// Time after a cut began from which callers of the gateway are served as those of the others, and
/// after its end until most calls go to the replicas again without another gateway.
constexpr duration recovery_time = 1s;
/// Share of calls served at gateways that are cut off, of that at the others.
constexpr double min_served_ratio = 0.95;
/// The same while replicas name a limit, which the gateways share by demand.
constexpr double min_ratio_under_limit = 2.0 / 3;
/// Time limit for the refusal of a request that cannot be served.
constexpr duration refusal_time = 1s;
const std::string fatal_text = "crashes";

/// A request that its caller sent once.
struct caller_request {
    std::string name;
    std::size_t gateway;
    /// Whether it may run more than once.
    bool is_repeatable;
    time_point sent_at;
    std::unique_ptr<client_call> call;
};

/// Three gateways, four replicas of the service "plain", two of "app" and, if the test has streams,
/// two of each of two software versions of "chat".
struct paths_test {
    deployment test_deployment;
    /// Null for a gateway that is never cut off.
    std::array<std::unique_ptr<replica_paths>, gateway_ips.size()> paths;
    std::unique_ptr<fleet> test_fleet;
    std::array<child_process*, gateway_ips.size()> gateways{};
    std::vector<std::unique_ptr<stand_ins::crashing_replica>> replicas;
    std::vector<std::unique_ptr<stand_ins::platform_replica>> chats;
    std::vector<caller_request> requests;
    task::wakeup chat_heartbeats{[this] { this->send_chat_heartbeats(); }};

    /// `cut_off` are the gateways that the test cuts off from replicas; requests to the service
    /// "plain" take `response_time`.
    void start(const std::vector<std::size_t>& cut_off, duration response_time = {},
               bool has_streams = false) {
        for (const std::size_t gateway : cut_off) {
            this->paths[gateway] = std::make_unique<replica_paths>(
                this->test_deployment.path_of(std::string("routes-") + gateway_ips[gateway]));
        }
        fleet_options options;
        options.services = service_count;
        options.gateway_environment = this->environment(0);
        this->test_fleet = std::make_unique<fleet>(this->test_deployment, options);
        this->add_replicas(response_time, has_streams);
        REQUIRE(this->test_fleet->wait_until_ready());
        this->gateways[0] = &this->test_fleet->gateway();
        for (std::size_t i = 1; i < gateway_ips.size(); ++i) {
            const std::string ip = gateway_ips[i];
            this->gateways[i] = &this->test_deployment.add_process(
                "gateway-" + ip, this->test_fleet->gateway_settings(ip, ip, "127.0.0.2"),
                RLIM_INFINITY, this->environment(i));
        }
        REQUIRE(this->test_deployment.run_until([&] {
            return std::all_of(this->gateways.begin(), this->gateways.end(),
                               [&](child_process* gateway) { return this->knows_all(*gateway); });
        }));
    }

    void cut(const std::vector<std::size_t>& cut_off, path_fault fault) const {
        for (const std::size_t gateway : cut_off) {
            this->paths[gateway]->cut(fault);
        }
    }

    [[nodiscard]] std::string url(std::size_t gateway) const {
        return this->test_fleet->callers_at(gateway_ips[gateway]);
    }

    caller_request& send(std::size_t gateway, const std::string& body, bool is_repeatable = true) {
        const std::string name = "call" + std::to_string(++this->last_number);
        http::request request = this->test_fleet->plain_request(gateway_ips[gateway], name, body);
        if (!is_repeatable) {
            request.url = this->url(gateway) + "/s/1";
        }
        request.repeatable = false;
        this->requests.push_back({name, gateway, is_repeatable, std::chrono::steady_clock::now(),
                                  this->test_deployment.begin(request)});
        return this->requests.back();
    }

    /// Sends requests to all gateways in turn, one of two of them such that run at most once.
    void send_for(duration time) {
        constexpr duration interval = 15ms;
        const time_point end = std::chrono::steady_clock::now() + time;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
            this->send(i % gateway_ips.size(), "body" + std::to_string(i),
                       i / gateway_ips.size() % 2 == 0);
            this->test_deployment.wait(interval);
        }
    }

    /// Waits for the responses. Each caller gets one that is whole; what runs at most once has not
    /// run more often, and not at all if it was refused as not run.
    void check_responses() {
        REQUIRE(this->test_deployment.run_until([&] {
            return std::all_of(this->requests.begin(), this->requests.end(),
                               [](const auto& request) { return request.call->is_completed; });
        }));
        for (const caller_request& request : this->requests) {
            const int status = request.call->head.status;
            CAPTURE(request.name);
            CAPTURE(status);
            CHECK(request.call->result == http::call_result::complete);
            if (!request.is_repeatable) {
                CHECK(this->run_count(request.name) <= (status == 503 ? 0U : 1U));
            }
        }
    }

    /// Share of the requests sent to the gateway between these times that were served.
    [[nodiscard]] double served_share(std::size_t gateway, bool is_repeatable, time_point begin,
                                      time_point end) const {
        double sent = 0;
        double served = 0;
        for (const caller_request& request : this->requests) {
            if (request.gateway == gateway && request.is_repeatable == is_repeatable &&
                request.sent_at >= begin && request.sent_at < end) {
                sent += 1;
                served += request.call->head.status == 200 ? 1 : 0;
            }
        }
        return served / sent;
    }

    /// Callers of the gateways that were cut off were served as those of the others.
    void check_shares(const std::vector<std::size_t>& cut_off, time_point begin,
                      time_point end) const {
        for (const bool is_repeatable : {true, false}) {
            const double elsewhere = this->served_share(0, is_repeatable, begin, end);
            CHECK(elsewhere >= min_served_ratio);
            for (const std::size_t gateway : cut_off) {
                const double at_cut_off = this->served_share(gateway, is_repeatable, begin, end);
                INFO("gateway ", gateway, ", repeatable ", is_repeatable, ": served ", at_cut_off,
                     ", elsewhere ", elsewhere);
                CHECK(at_cut_off >= min_served_ratio * elsewhere);
            }
        }
    }

    /// Runs of a request at the replicas of the service "app".
    [[nodiscard]] std::size_t run_count(const std::string& name) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < service_count; ++i) {
            const auto& executed = this->test_fleet->service(i).executed_request_ids();
            count += static_cast<std::size_t>(std::count(executed.begin(), executed.end(), name));
        }
        return count;
    }

private:
    std::size_t last_number = 0;

    [[nodiscard]] std::vector<std::string> environment(std::size_t gateway) const {
        return this->paths[gateway] ? this->paths[gateway]->environment()
                                    : std::vector<std::string>();
    }

    void add_replicas(duration response_time, bool has_streams) {
        std::vector<endpoint> addresses;
        for (std::size_t i = 0; i < service_count; ++i) {
            addresses.push_back(this->test_fleet->service(i).address());
        }
        for (std::size_t i = 0; i < replica_count; ++i) {
            this->replicas.push_back(this->test_fleet->add_plain_replica(
                "plain" + std::to_string(i), fatal_text, response_time));
            addresses.push_back(this->replicas.back()->address());
        }
        for (std::size_t i = 0; has_streams && i < replica_count; ++i) {
            this->chats.push_back(this->test_fleet->add_chat_replica(
                "chat" + std::to_string(i), i % 2 == 0 ? "v1" : "v2", stream_events,
                event_interval));
            addresses.push_back(this->chats.back()->address());
        }
        for (const auto& gateway_paths : this->paths) {
            for (std::size_t i = 0; gateway_paths && i < addresses.size(); ++i) {
                gateway_paths->add(addresses[i]);
            }
        }
        this->send_chat_heartbeats();
    }

    void send_chat_heartbeats() {
        for (const auto& chat : this->chats) {
            chat->send_heartbeat();
        }
        this->chat_heartbeats.arm(std::chrono::steady_clock::now() + 300ms);
    }

    /// Whether the gateway is ready and knows all replicas and the engine.
    [[nodiscard]] bool knows_all(child_process& gateway) {
        const auto status =
            nlohmann::json::parse(this->test_deployment.status(gateway), nullptr, false);
        return status.is_object() && status.contains("gateway") &&
               status["gateway"].value("targets", std::size_t{0}) ==
                   service_count + this->replicas.size() + this->chats.size() + 1;
    }
};

/// The numbers of the events in a stream's body.
std::vector<int> event_numbers(const std::string& body) {
    std::vector<int> numbers;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("id: ")) {
            numbers.push_back(std::stoi(line.substr(4)));
        }
    }
    return numbers;
}

using client_streams = std::vector<std::unique_ptr<client_stream>>;

} // namespace

// A gateway that had lost its links to all replicas sent each call to them until its deadline, or
// refused it, while its neighbours could have served it.
SCENARIO("callers of a gateway that reaches no replica are served as those of the others") {
    paths_test test;
    GIVEN("three gateways, and replicas of two plain services") {
        WHEN("the connections of one gateway to the replicas fail in one way after the other") {
            test.start({2});
            for (const path_fault fault : path_faults) {
                INFO("connections: ", name_of(fault));
                test.send_for(500ms);
                test.cut({2}, fault);
                const time_point begin = std::chrono::steady_clock::now() + recovery_time;
                test.send_for(recovery_time + 1s);
                const time_point end = std::chrono::steady_clock::now();
                test.check_responses();
                test.check_shares({2}, begin, end);
                test.paths[2]->heal();
                test.send_for(recovery_time);
                const std::size_t forwarded = test.paths[2]->forwarded_requests();
                const std::size_t sent = test.requests.size();
                test.send_for(500ms);
                test.check_responses();
                // Once the cut has ended, most calls go to the replicas without another gateway.
                const std::size_t sent_to_each = (test.requests.size() - sent) / gateway_ips.size();
                CHECK(2 * (test.paths[2]->forwarded_requests() - forwarded) >= sent_to_each);
            }
        }
        WHEN("two of three gateways are cut off, and then the third one") {
            test.start({0, 1, 2});
            test.send_for(500ms);
            test.cut({1}, path_fault::hang);
            test.cut({2}, path_fault::reset_and_refuse);
            const time_point begin = std::chrono::steady_clock::now() + recovery_time;
            test.send_for(recovery_time + 1500ms);
            const time_point end = std::chrono::steady_clock::now();
            test.check_responses();
            test.check_shares({1, 2}, begin, end);
            test.cut({0}, path_fault::hang);
            const time_point all_cut = std::chrono::steady_clock::now() + recovery_time;
            test.send_for(recovery_time + 1500ms);
            THEN("the third one serves for all, and without it requests are refused at once") {
                test.check_responses();
                for (const caller_request& request : test.requests) {
                    if (request.sent_at >= all_cut) {
                        CAPTURE(request.gateway);
                        CHECK(request.call->head.status == 503);
                        CHECK_FALSE(request.call->header("Retry-After").empty());
                        CHECK(request.call->completed_at - request.sent_at < refusal_time);
                    }
                }
                AND_THEN("all are served again once the replicas are reached") {
                    for (const auto& paths : test.paths) {
                        paths->heal();
                    }
                    test.send_for(recovery_time);
                    const time_point healed = std::chrono::steady_clock::now();
                    test.send_for(500ms);
                    test.check_responses();
                    test.check_shares({1, 2}, healed, std::chrono::steady_clock::now());
                }
            }
        }
    }
}

SCENARIO("a call through another gateway is the same as one without it") {
    paths_test test;
    GIVEN("a gateway that reaches no replica, and two others") {
        test.start({2});
        test.cut({2}, path_fault::hang);
        test.send(2, "first");
        test.send(2, "first", false);
        test.test_deployment.wait(recovery_time);

        WHEN("a call has a large body") {
            std::string body;
            for (int i = 0; body.size() < 700UL * 1000; ++i) {
                body += std::to_string(i) + " ";
            }
            const std::size_t number = test.requests.size();
            test.send(2, body);
            test.check_responses();
            THEN("the replica gets it whole, and so does the caller the response") {
                CHECK(test.requests[number].call->head.status == 200);
                CHECK((test.requests[number].call->body == "ran " + body));
            }
        }
        WHEN("replicas answer with success and with failure") {
            test.requests.clear();
            test.send(2, "a", false);
            test.check_responses();
            for (std::size_t i = 0; i < service_count; ++i) {
                test.test_fleet->service(i).fail_requests(1);
            }
            test.send(2, "b", false);
            test.check_responses();
            THEN("status, stamp, identifier and body come back unchanged") {
                CHECK(test.requests[0].call->head.status == 200);
                CHECK(test.requests[0].call->body == "ran a");
                CHECK(test.requests[1].call->head.status == 500);
                CHECK(test.requests[1].call->body == "failed");
                for (const caller_request& request : test.requests) {
                    CHECK(request.call->header("X-Server-Stamp").starts_with("stamp-of-app"));
                    CHECK(request.call->header("X-Request-Id") == request.name);
                }
            }
        }
        WHEN("the replicas name a limit, and callers send more") {
            constexpr int limit = 4;
            const time_point begin = std::chrono::steady_clock::now();
            for (std::size_t i = 0; i < service_count; ++i) {
                test.test_fleet->service(i).name_limit(std::to_string(limit));
            }
            const time_point settled = begin + limit_settling_time;
            while (std::chrono::steady_clock::now() < settled + 5s) {
                test.send(test.requests.size() % gateway_ips.size(), "limited", false);
                test.test_deployment.wait(30ms);
            }
            test.check_responses();
            THEN("they get no more than that, and callers at the gateway have their share") {
                for (std::size_t i = 0; i < service_count; ++i) {
                    CHECK(most_in_window(test.test_fleet->service(i).arrivals(), settled) <=
                          allowed_in_window(limit));
                }
                const auto share = [&](std::size_t gateway) {
                    return test.served_share(gateway, false, settled, time_point::max());
                };
                INFO("served at the gateway ", share(2), ", at the others ", share(0), " and ",
                     share(1));
                CHECK(share(2) >= min_ratio_under_limit * (share(0) + share(1)) / 2);
                for (const caller_request& request : test.requests) {
                    const int status = request.call->head.status;
                    const bool is_refused =
                        status == 503 && !request.call->header("Retry-After").empty();
                    CHECK((status == 200 || is_refused));
                }
            }
        }
        WHEN("a request that crashes the replicas that run it comes again and again") {
            // Crashes that a request may cause before it is refused.
            constexpr std::size_t min_crashes = 3;
            constexpr std::size_t max_crashes = 4;
            const auto crash_count = [&] {
                std::size_t count = 0;
                for (const auto& replica : test.replicas) {
                    count += replica->crashes().size();
                }
                return count;
            };
            for (int i = 0; i < 10; ++i) {
                test.send(2, fatal_text);
                test.test_deployment.wait(700ms);
            }
            test.check_responses();
            THEN("each crash counts once") {
                CHECK(crash_count() >= min_crashes);
                CHECK(crash_count() <= max_crashes);
            }
        }
    }
}

SCENARIO("streams at a gateway that reaches no replica go through another one") {
    paths_test test;
    client_streams streams;
    const auto add_streams = [&](const std::string& name, std::size_t count, std::size_t gateway) {
        for (std::size_t i = 0; i < count; ++i) {
            streams.push_back(
                std::make_unique<client_stream>(test.test_deployment, name + std::to_string(i)));
            streams.back()->begin(test.url(gateway));
        }
    };
    const auto wait_for_all = [&](int number) {
        REQUIRE(test.test_deployment.run_until([&] {
            return std::all_of(streams.begin(), streams.end(), [&](const auto& stream) {
                return stream->has_event(number) || stream->is_ended();
            });
        }));
    };
    const auto wait_for_ends = [&] {
        REQUIRE(test.test_deployment.run_until([&] {
            return std::all_of(streams.begin(), streams.end(),
                               [](const auto& stream) { return stream->is_ended(); });
        }));
    };
    constexpr std::size_t count = 6;

    GIVEN("a gateway that reaches no replica, and streams that began at another one") {
        test.start({2}, {}, true);
        add_streams("early", count, 0);
        wait_for_all(3);
        test.cut({2}, path_fault::hang);
        // The first stream shows that no replica is reached.
        client_stream first(test.test_deployment, "first");
        first.begin(test.url(2));
        test.test_deployment.wait(recovery_time);

        WHEN("they are taken up there") {
            for (const auto& stream : streams) {
                stream->leave();
                stream->take_up(test.url(2));
            }
            wait_for_ends();
            THEN("they go on at the software version that began them") {
                for (const auto& stream : streams) {
                    CHECK(stream->goes_on());
                    CHECK(stream->has_event(stream_events));
                    CHECK(stream->versions().size() == 1);
                }
            }
        }
        WHEN("streams begin there") {
            wait_for_ends();
            streams.clear();
            add_streams("late", count, 2);
            wait_for_all(3);
            THEN("their events come one by one, in order, and the streams are whole") {
                for (const auto& stream : streams) {
                    CHECK_FALSE(stream->is_ended());
                }
                wait_for_ends();
                std::vector<int> expected(stream_events);
                std::iota(expected.begin(), expected.end(), 1);
                for (const auto& stream : streams) {
                    CHECK(stream->call().result == http::call_result::complete);
                    CHECK(event_numbers(stream->call().body) == expected);
                }
            }
            AND_WHEN("a caller leaves") {
                streams.front()->leave();
                THEN("the replica's work on its stream ends") {
                    constexpr duration leaving_time = 500ms;
                    test.test_deployment.wait(leaving_time);
                    CHECK(std::any_of(test.chats.begin(), test.chats.end(), [](const auto& chat) {
                        const auto& left = chat->disconnected_stream_ids();
                        return std::find(left.begin(), left.end(), "late0-1") != left.end();
                    }));
                }
            }
        }
    }

    GIVEN("a single gateway that reaches the replicas") {
        test.start({0, 2}, {}, true);
        test.cut({0, 2}, path_fault::hang);
        add_streams("talk", count, 2);
        wait_for_all(3);
        for (const auto& stream : streams) {
            REQUIRE(stream->goes_on());
        }
        WHEN("it is killed while it passes on streams") {
            test.gateways[1]->signal(SIGKILL);
            wait_for_ends();
            THEN("the streams break visibly, and can be taken up") {
                for (const auto& stream : streams) {
                    CHECK(stream->call().result != http::call_result::complete);
                }
                test.paths[2]->heal();
                test.test_deployment.wait(recovery_time);
                for (const auto& stream : streams) {
                    stream->take_up(test.url(2));
                }
                wait_for_ends();
                for (const auto& stream : streams) {
                    CHECK(stream->has_event(stream_events));
                    CHECK(stream->versions().size() == 1);
                }
            }
        }
    }
}

SCENARIO("planned stops cut no call that goes through another gateway") {
    paths_test test;
    GIVEN("two of three gateways that reach no replica, and slow calls") {
        test.start({0, 2}, 700ms);
        test.cut({0, 2}, path_fault::hang);
        test.send(0, "first");
        test.send(2, "first");
        test.test_deployment.wait(recovery_time);
        test.check_responses();
        const auto stop_during_calls = [&](std::size_t stopped) {
            constexpr std::size_t count = 6;
            test.requests.clear();
            for (std::size_t i = 0; i < count; ++i) {
                test.send(2, "slow");
            }
            test.test_deployment.wait(200ms);
            test.gateways[stopped]->signal(SIGTERM);
            test.check_responses();
            for (const caller_request& request : test.requests) {
                CHECK(request.call->head.status == 200);
            }
            CHECK(test.gateways[stopped]->wait() == 0);
        };
        WHEN("the gateway that forwards the calls stops, and then the one that took them") {
            stop_during_calls(1);
            test.paths[0]->heal();
            test.test_deployment.wait(2 * recovery_time);
            stop_during_calls(2);
        }
    }
}

} // namespace kingcupcart::process_tests
