#include "process/deployment.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using nlohmann::json;

namespace {

http::request change_request(child_process& keeper, const std::string& id, std::uint64_t base,
                             const std::string& name) {
    http::request request;
    request.method = "POST";
    request.url = "http://" + keeper.value("admin") + "/configuration";
    request.content_type = "application/json";
    request.body = json{{"order_id", id},
                        {"base", base},
                        {"text", "[deployment]\nname = " + name + "\nopen = true\n"}}
                       .dump();
    return request;
}

json body_of(const client_call& response) {
    return json::parse(response.body, nullptr, false);
}

} // namespace

SCENARIO("configurations that keepers accepted survive kills, lost disks and restarts") {
    deployment test_deployment;
    auto keepers = test_deployment.add_three_keepers();
    const auto has_formed = [&](child_process& keeper) {
        return test_deployment.run_until([&] {
            const json status = test_deployment.keeper_status(keeper);
            return status.is_object() && status["voters"].size() == 3 && status["joining"] == 0 &&
                   status["configuration_version"] == 1;
        });
    };
    REQUIRE(has_formed(*keepers[0]));
    auto& entry = test_deployment.add_entry();
    const auto is_in_force = [&](std::uint64_t version) {
        return test_deployment.run_until([&] {
            const json status = json::parse(test_deployment.status(entry), nullptr, false);
            return status.is_object() && status["entry"]["configuration_version"] == version;
        });
    };
    REQUIRE(is_in_force(1));
    GIVEN("two changes of the same base version, sent to two keepers at once") {
        auto first = test_deployment.begin(change_request(*keepers[1], "one", 1, "one"));
        auto second = test_deployment.begin(change_request(*keepers[2], "other", 1, "other"));
        REQUIRE(
            test_deployment.run_until([&] { return first->is_completed && second->is_completed; }));
        THEN("one is accepted, the other rejected, and a resend gets the first response") {
            CHECK(body_of(*first)["accepted"] != body_of(*second)["accepted"]);
            const auto resent = test_deployment.call(change_request(*keepers[0], "one", 1, "one"));
            CHECK(body_of(*resent)["accepted"] == body_of(*first)["accepted"]);
            CHECK(body_of(*resent)["version"] == 2);
            CHECK(is_in_force(2));
        }
    }
    GIVEN("a sequence of changes during which the leader is killed") {
        std::uint64_t version = 1;
        std::size_t leader = 0;
        for (int i = 0; i < 12; ++i) {
            if (i == 4) {
                for (std::size_t k = 0; k < keepers.size(); ++k) {
                    leader =
                        test_deployment.keeper_status(*keepers[k])["leads"] == true ? k : leader;
                }
                keepers[leader]->signal(SIGKILL);
                keepers[leader]->wait();
            }
            child_process& survivor = *keepers[(leader + 1) % 3];
            // A change whose response is lost is resent with the same order_id.
            REQUIRE(test_deployment.run_until([&] {
                const auto response = test_deployment.call(change_request(
                    survivor, "o" + std::to_string(i), version, "n" + std::to_string(i)));
                return response->head.status == 200;
            }));
            ++version;
        }
        THEN("all are in force, each applied once") {
            CHECK(is_in_force(13));
        }
        AND_WHEN("the killed keeper restarts with an empty disk") {
            const std::string id = "k" + std::to_string(leader + 1);
            auto& repaired = test_deployment.restart_keeper(id, true);
            REQUIRE(test_deployment.run_until([&] {
                const json status = test_deployment.keeper_status(repaired);
                return status.is_object() && status["votes_here"] == true &&
                       status["configuration_version"] == 13;
            }));
            AND_WHEN("a second keeper is killed right after the first one votes again") {
                keepers[(leader + 1) % 3]->signal(SIGKILL);
                keepers[(leader + 1) % 3]->wait();
                THEN("the other two accept a further change") {
                    CHECK(test_deployment.run_until([&] {
                        return test_deployment.call(change_request(repaired, "last", 13, "last"))
                                   ->head.status == 200;
                    }));
                    CHECK(is_in_force(14));
                }
            }
        }
    }
    GIVEN("all keepers are killed at once") {
        REQUIRE(test_deployment.call(change_request(*keepers[0], "o", 1, "kept"))->head.status ==
                200);
        for (child_process* keeper : keepers) {
            keeper->signal(SIGKILL);
            keeper->wait();
        }
        auto& restarted = test_deployment.restart_keeper("k1", false);
        test_deployment.restart_keeper("k2", false);
        THEN("a majority that restarts has the accepted configuration") {
            CHECK(test_deployment.run_until([&] {
                return test_deployment.keeper_status(restarted)["configuration_version"] == 2;
            }));
        }
    }
    GIVEN("a majority of the keepers is killed") {
        keepers[1]->signal(SIGKILL);
        keepers[2]->signal(SIGKILL);
        THEN("a change is not reported as accepted, and the entry instance keeps its "
             "configuration") {
            const auto response = test_deployment.call(change_request(*keepers[0], "o", 1, "lost"));
            CHECK(response->head.status == 503);
            CHECK(is_in_force(1));
        }
    }
    GIVEN("an entry instance that starts while no keeper runs") {
        for (child_process* keeper : keepers) {
            keeper->signal(SIGKILL);
        }
        entry.signal(SIGKILL);
        auto& restarted = test_deployment.add_entry();
        http::request ready;
        ready.url = "http://" + restarted.value("admin") + "/readyz";
        THEN("it is not ready, since it has no configuration in force") {
            CHECK(test_deployment.call(ready)->head.status == 503);
        }
    }
}
