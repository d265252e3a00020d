// Real processes whose disks refuse writes. A file size limit refuses them without root: the
// process gets SIGXFSZ, and EFBIG where it ignores that signal.
#include "process/deployment.h"
#include "process/fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using nlohmann::json;

namespace {

constexpr std::size_t group_size = 3;
/// How long the disk of each member refuses writes.
constexpr duration refusal_time = std::chrono::seconds(1);
/// The platform counts a member as lost for this time after its disk takes writes again.
constexpr duration recovery_time = std::chrono::milliseconds(5700);
/// Less than any journal holds: every write is refused.
constexpr rlim_t smallest_file_size = 1;

/// Batch jobs, sent to the fleet again and again until each is accepted.
class job_submitter {
public:
    job_submitter(deployment& test_deployment, fleet& test_fleet)
        : test_deployment(test_deployment), test_fleet(test_fleet) {}

    [[nodiscard]] bool submit() {
        const std::string job = "job" + std::to_string(this->accepted.size());
        const bool is_accepted = this->test_deployment.run_until([&] {
            const auto request = this->test_fleet.submit_job_request(job, {job + "-item"}, 1);
            return this->test_deployment.call(request)->head.status == 202;
        });
        this->accepted.push_back(job);
        return is_accepted;
    }
    [[nodiscard]] bool submit_for(duration time) {
        const auto end = std::chrono::steady_clock::now() + time;
        bool are_accepted = this->submit();
        while (std::chrono::steady_clock::now() < end) {
            are_accepted = this->submit() && are_accepted;
        }
        return are_accepted;
    }
    /// Whether each accepted job still lists the result of its item.
    [[nodiscard]] bool are_readable() {
        for (const std::string& job : this->accepted) {
            CAPTURE(job);
            const json results = this->test_fleet.results(job, 1);
            if (results.size() != 1 ||
                results[0]["text"] != this->test_fleet.expected_item_text(job + "-item")) {
                return false;
            }
        }
        return true;
    }

private:
    deployment& test_deployment;
    fleet& test_fleet;
    std::vector<std::string> accepted;
};

/// Whether the instance takes part in its group within the recovery time.
bool recovers(deployment& test_deployment, child_process& instance) {
    http::request ready;
    ready.url = "http://" + instance.value("admin") + "/readyz";
    const auto deadline = std::chrono::steady_clock::now() + recovery_time;
    bool is_ready = false;
    test_deployment.run_until([&] {
        is_ready = !instance.has_exited() && test_deployment.call(ready)->head.status == 200;
        return is_ready || std::chrono::steady_clock::now() > deadline;
    });
    return is_ready;
}

/// How often the replicated log of a store has been suspended; -1 if it does not say.
int suspensions_of(deployment& test_deployment, child_process& store) {
    http::request metrics;
    metrics.url = "http://" + store.value("admin") + "/metrics";
    const std::string text = test_deployment.call(metrics)->body;
    const std::string name = "_store_log_suspensions ";
    const auto position = text.find(name);
    return position == std::string::npos ? -1 : std::stoi(text.substr(position + name.size()));
}

} // namespace

// Guards against stores that a refused write ended or kept out of their group (review, case 3).
SCENARIO("accepted jobs outlast disks of stores that refuse writes, one after the other") {
    deployment test_deployment;
    fleet_options options;
    options.group_size = group_size;
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    job_submitter jobs(test_deployment, test_fleet);
    REQUIRE(jobs.submit());

    GIVEN("a fleet in which the disk of each store has refused all writes for a while") {
        for (std::size_t i = 0; i < group_size; ++i) {
            CAPTURE(i);
            test_fleet.store(i).limit_file_size(smallest_file_size);
            REQUIRE(jobs.submit_for(refusal_time));
            test_fleet.store(i).limit_file_size(RLIM_INFINITY);
            REQUIRE(recovers(test_deployment, test_fleet.store(i)));
        }
        THEN("any two of them serve all jobs") {
            for (std::size_t lost = 0; lost < group_size; ++lost) {
                CAPTURE(lost);
                test_fleet.kill_store(lost);
                CHECK(jobs.submit());
                CHECK(jobs.are_readable());
                test_fleet.start_store(lost);
                REQUIRE(recovers(test_deployment, test_fleet.store(lost)));
            }
        }
    }
    // A probe of 4 KB in another file passed, so that the store read its journal again and again.
    GIVEN("a store whose journal can grow by a few bytes only") {
        constexpr rlim_t more_than_a_probe = 16384;
        while (test_fleet.store_journal_size(0) < more_than_a_probe) {
            REQUIRE(jobs.submit());
        }
        constexpr rlim_t room = 300;
        test_fleet.store(0).limit_file_size(test_fleet.store_journal_size(0) + room);
        REQUIRE(jobs.submit_for(3 * refusal_time));
        THEN("it waits until there is room for what was refused") {
            CHECK(suspensions_of(test_deployment, test_fleet.store(0)) == 1);
            test_fleet.store(0).limit_file_size(RLIM_INFINITY);
            REQUIRE(recovers(test_deployment, test_fleet.store(0)));
            CHECK(jobs.are_readable());
        }
    }
    GIVEN("a store that is killed and started several times while its disk refuses writes") {
        for (int restart = 0; restart < 3; ++restart) {
            test_fleet.kill_store(0);
            test_fleet.start_store(0, smallest_file_size);
            REQUIRE(jobs.submit());
            CHECK_FALSE(test_fleet.store(0).has_exited());
        }
        WHEN("the disk takes writes again") {
            test_fleet.store(0).limit_file_size(RLIM_INFINITY);
            THEN("the process takes part again, and replaces the next store that is lost") {
                REQUIRE(recovers(test_deployment, test_fleet.store(0)));
                test_fleet.kill_store(1);
                CHECK(jobs.submit());
                CHECK(jobs.are_readable());
            }
        }
    }
}

// The same for keepers: changes and reads of the configuration ended with the second one.
SCENARIO("configurations outlast disks of keepers that refuse writes, one after the other") {
    deployment test_deployment;
    fleet_options options;
    options.group_size = group_size;
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    int version = 3;
    const auto accepts_change = [&] {
        ++version;
        std::size_t keeper = 0;
        return test_deployment.run_until([&] {
            const auto request = test_fleet.put_configuration_request(version, keeper);
            keeper = (keeper + 1) % group_size;
            return test_deployment.call(request)->head.status == 200;
        });
    };

    GIVEN("a fleet in which the disk of each keeper has refused all writes for a while") {
        for (std::size_t i = 0; i < group_size; ++i) {
            CAPTURE(i);
            test_fleet.keeper(i).limit_file_size(smallest_file_size);
            REQUIRE(accepts_change());
            test_deployment.wait(refusal_time);
            REQUIRE(accepts_change());
            test_fleet.keeper(i).limit_file_size(RLIM_INFINITY);
            REQUIRE(recovers(test_deployment, test_fleet.keeper(i)));
        }
        WHEN("one of them is killed") {
            test_fleet.keeper(0).signal(SIGKILL);
            test_fleet.keeper(0).wait();
            THEN("the other two accept a change, and return the newest configuration") {
                CHECK(accepts_change());
                CHECK(test_deployment.run_until([&] {
                    const auto response =
                        test_deployment.call(test_fleet.read_configuration_request(1));
                    return response->head.status == 200 &&
                           json::parse(response->body)["version"] == version;
                }));
            }
        }
    }
}
