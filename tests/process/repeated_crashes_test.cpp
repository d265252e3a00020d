#include "process/deployment.h"
#include "process/fleet.h"

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

/// Time after a request crashed its third target from which its sends are counted (`contactMs`).
constexpr duration contact_time = std::chrono::seconds(4);
/// Sends of such a request that all machines together may still make after that.
constexpr std::ptrdiff_t max_late_sends = 3;
/// Targets that a request may crash whose copies come one after the other.
constexpr std::size_t max_crashes_in_sequence = 4;
constexpr std::size_t replica_count = 4;
constexpr int max_tries = 3;
/// Longest time until a replica that ended just before the settling time is known to be back.
constexpr duration restart_time = std::chrono::seconds(4);
const std::string fatal_text = "crashes";

const std::array<const char*, 3> gateways = {"127.0.0.4", "127.0.0.6", "127.0.0.7"};

/// A request that its caller retries after a failure, `max_tries` attempts in all.
struct other_request {
    std::string body;
    time_point first_sent_at{};
    int tries = 0;
    std::unique_ptr<client_call> call;
};

/// Three keepers, three gateways and four replicas of a plain service.
struct crash_test {
    deployment test_deployment;
    fleet test_fleet;
    std::vector<std::unique_ptr<stand_ins::crashing_replica>> replicas;
    std::vector<std::unique_ptr<client_call>> marked_calls;
    std::vector<other_request> others;
    /// Number of responses that refuse one of the others as quarantined.
    int quarantined_others = 0;

    crash_test() : test_fleet(this->test_deployment, three_keepers()) {}

    static fleet_options three_keepers() {
        fleet_options options;
        options.group_size = 3;
        return options;
    }

    [[nodiscard]] bool start(duration response_time) {
        for (std::size_t i = 0; i < replica_count; ++i) {
            this->replicas.push_back(this->test_fleet.add_plain_replica("plain" + std::to_string(i),
                                                                        fatal_text, response_time));
        }
        if (!this->test_fleet.wait_until_ready()) {
            return false;
        }
        for (const char* ip : {gateways[1], gateways[2]}) {
            this->test_deployment.add_process(
                std::string("gateway-") + ip,
                this->test_fleet.gateway_settings(ip, ip, "127.0.0.2"));
        }
        return std::all_of(gateways.begin(), gateways.end(), [&](const char* ip) {
            return this->test_deployment.run_until([&] {
                return this->test_fleet.reports_ready(ip) &&
                       this->test_deployment.call(this->test_fleet.plain_request(ip, "w", "w"))
                               ->head.status == 200;
            });
        });
    }

    /// Sends a copy of the marked request to the gateway, under an identifier of its own.
    void send_marked(std::size_t gateway) {
        this->marked_calls.push_back(this->test_deployment.begin(this->test_fleet.plain_request(
            gateways[gateway % gateways.size()],
            "marked" + std::to_string(this->marked_calls.size()), fatal_text)));
    }

    void send_other(const std::string& body) {
        this->others.push_back({body, std::chrono::steady_clock::now(), 0, nullptr});
        this->send(this->others.back());
    }

    void send(other_request& request) {
        const std::string name = "other" + std::to_string(this->sent_others);
        request.call = this->test_deployment.begin(this->test_fleet.plain_request(
            gateways[this->sent_others++ % gateways.size()], name, request.body));
        ++request.tries;
    }

    /// Retries the failed ones. Returns whether all have been served or have used up their tries.
    bool repeat_others() {
        bool have_ended = true;
        for (other_request& request : this->others) {
            if (!request.call->is_completed || request.call->head.status == 200) {
                have_ended = have_ended && request.call->is_completed;
                continue;
            }
            if (request.call->body.find("quarantine") != std::string::npos) {
                ++this->quarantined_others;
            }
            if (request.tries < max_tries) {
                have_ended = false;
                this->send(request);
            }
        }
        return have_ended;
    }

    [[nodiscard]] bool wait_for_calls() {
        return this->test_deployment.run_until([&] {
            return this->repeat_others() &&
                   std::all_of(this->marked_calls.begin(), this->marked_calls.end(),
                               [](const auto& call) { return call->is_completed; });
        });
    }

    [[nodiscard]] std::vector<time_point> crashes() const {
        std::vector<time_point> times;
        for (const auto& replica : this->replicas) {
            times.insert(times.end(), replica->crashes().begin(), replica->crashes().end());
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /// Runs of the marked request that began after the time.
    [[nodiscard]] std::ptrdiff_t runs_after(time_point begin) const {
        std::ptrdiff_t count = 0;
        for (const auto& replica : this->replicas) {
            const auto& runs = replica->fatal_runs();
            count += std::count_if(runs.begin(), runs.end(),
                                   [&](const time_point& run) { return run > begin; });
        }
        return count;
    }

    [[nodiscard]] bool has_run(const std::string& request) const {
        return std::any_of(this->replicas.begin(), this->replicas.end(), [&](const auto& replica) {
            const auto& requests = replica->fatal_requests();
            return std::find(requests.begin(), requests.end(), request) != requests.end();
        });
    }

    [[nodiscard]] std::ptrdiff_t served_count() const {
        return std::count_if(
            this->others.begin(), this->others.end(),
            [](const other_request& request) { return request.call->head.status == 200; });
    }

private:
    std::size_t sent_others = 0;
};

/// Sends the marked request again and again, `copies` at a time, and other requests beside it.
void run_marked_requests(crash_test& test, std::size_t copies, duration time) {
    constexpr duration interval = std::chrono::milliseconds(100);
    constexpr std::size_t intervals_between_copies = 7;
    const time_point end = std::chrono::steady_clock::now() + time;
    for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
        if (i % intervals_between_copies == 0) {
            for (std::size_t copy = 0; copy < copies; ++copy) {
                test.send_marked(i / intervals_between_copies + copy);
            }
        }
        test.repeat_others();
        test.send_other("other" + std::to_string(i));
        test.test_deployment.wait(interval);
    }
    REQUIRE(test.wait_for_calls());
    const std::vector<time_point> crashes = test.crashes();
    REQUIRE(crashes.size() >= 3);
    const time_point settled = crashes[2] + contact_time;
    INFO("replicas ended ", crashes.size(), ", others served ", test.served_count(), " of ",
         test.others.size());
    CHECK(test.runs_after(settled) <= max_late_sends);
    if (copies == 1) {
        CHECK(crashes.size() <= max_crashes_in_sequence);
    }
    for (std::size_t i = 0; i < test.marked_calls.size(); ++i) {
        const int status = test.marked_calls[i]->head.status;
        CAPTURE(status);
        // 503 promises that this client attempt did not run.
        const bool has_run = test.has_run("marked" + std::to_string(i));
        CHECK((has_run ? status == 502 || status == 504 : status == 503 || status == 502));
    }
    std::size_t unserved = 0;
    for (const other_request& request : test.others) {
        const bool are_replicas_back = request.first_sent_at > settled + restart_time;
        unserved += are_replicas_back && request.call->head.status != 200 ? 1 : 0;
    }
    CHECK(unserved == 0);
}

} // namespace

// Guards against a request that crashes one replica after another: each gateway counted crashes for
// one client attempt only, so a retry under another identifier was sent to every restarted replica.
SCENARIO("a request under which targets ended is not sent on and on") {
    crash_test test;
    GIVEN("a request that crashes each replica that runs it, and other requests beside it") {
        REQUIRE(test.start(duration::zero()));
        WHEN("it comes again at one gateway after the other") {
            run_marked_requests(test, 1, std::chrono::seconds(24));
        }
        WHEN("it comes at all gateways at once, again and again") {
            run_marked_requests(test, gateways.size(), std::chrono::seconds(24));
        }
    }
}

// Guards against refusals of requests that were running when their replica was killed, which looks
// the same as a crash that they caused.
SCENARIO("requests that ran on killed replicas are not refused as if they had crashed them") {
    crash_test test;
    GIVEN("slow requests that are all alike") {
        REQUIRE(test.start(std::chrono::seconds(1)));
        WHEN("three of four replicas are killed, three times") {
            // A single replica can serve this rate.
            constexpr duration interval = std::chrono::milliseconds(200);
            constexpr std::size_t intervals_between_kills = 30;
            constexpr std::size_t kills = 3;
            constexpr std::size_t intervals = (kills + 1) * intervals_between_kills;
            for (std::size_t i = 0; i < intervals; ++i) {
                if (i % intervals_between_kills == intervals_between_kills / 2 &&
                    i / intervals_between_kills < kills) {
                    for (std::size_t killed = 0; killed + 1 < replica_count; ++killed) {
                        test.replicas[killed]->kill();
                    }
                }
                test.repeat_others();
                test.send_other("alike");
                test.test_deployment.wait(interval);
            }
            REQUIRE(test.wait_for_calls());
            THEN("none is refused as quarantined, and they are served as without a quarantine") {
                CHECK(test.quarantined_others == 0);
                const auto total = static_cast<std::ptrdiff_t>(test.others.size());
                INFO("served ", test.served_count(), " of ", total);
                CHECK(test.served_count() * 100 >= total * 99);
            }
        }
    }
}

} // namespace kingcupcart::process_tests
