#include "process/deployment.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using nlohmann::json;

namespace {

http::request order(child_process& keeper, const std::string& id, std::uint64_t base,
                    const std::string& name) {
    http::request wanted;
    wanted.method = "POST";
    wanted.url = "http://" + keeper.value("admin") + "/configuration";
    wanted.content_type = "application/json";
    wanted.body = json{{"order_id", id},
                       {"base", base},
                       {"text", "[deployment]\nname = " + name + "\nopen = true\n"}}
                      .dump();
    return wanted;
}

json body_of(const caller& answered) {
    return json::parse(answered.body, nullptr, false);
}

} // namespace

SCENARIO("what keepers accepted survives kills, lost disks and restarts") {
    deployment salon;
    auto keepers = salon.add_three_keepers();
    const auto have_formed = [&](child_process& at) {
        return salon.run_until([&] {
            const json status = salon.keeper_status(at);
            return status.is_object() && status["voters"].size() == 3 && status["joining"] == 0 &&
                   status["configuration_version"] == 1;
        });
    };
    REQUIRE(have_formed(*keepers[0]));
    auto& entry = salon.add_entry();
    const auto in_force = [&](std::uint64_t version) {
        return salon.run_until([&] {
            const json status = json::parse(salon.status(entry), nullptr, false);
            return status.is_object() && status["entry"]["configuration_version"] == version;
        });
    };
    REQUIRE(in_force(1));
    GIVEN("operators who race under equal numbers, at two keepers") {
        auto one = salon.begin(order(*keepers[1], "one", 1, "one"));
        auto other = salon.begin(order(*keepers[2], "other", 1, "other"));
        REQUIRE(salon.run_until([&] { return one->is_over && other->is_over; }));
        THEN("one wins, the other is told so, and a resend gets the first answer") {
            CHECK(body_of(*one)["accepted"] != body_of(*other)["accepted"]);
            const auto again = salon.call(order(*keepers[0], "one", 1, "one"));
            CHECK(body_of(*again)["accepted"] == body_of(*one)["accepted"]);
            CHECK(body_of(*again)["version"] == 2);
            CHECK(in_force(2));
        }
    }
    GIVEN("a stream of changes while the leader is killed") {
        std::uint64_t version = 1;
        std::size_t leader = 0;
        for (int i = 0; i < 12; ++i) {
            if (i == 4) {
                for (std::size_t k = 0; k < keepers.size(); ++k) {
                    leader = salon.keeper_status(*keepers[k])["leads"] == true ? k : leader;
                }
                keepers[leader]->signal(SIGKILL);
                keepers[leader]->wait();
            }
            child_process& at = *keepers[(leader + 1) % 3];
            // An order whose answer is lost is sent again under its own name.
            REQUIRE(salon.run_until([&] {
                const auto answered = salon.call(
                    order(at, "o" + std::to_string(i), version, "n" + std::to_string(i)));
                return answered->head.status == 200;
            }));
            ++version;
        }
        THEN("all are in force, each once") {
            CHECK(in_force(13));
        }
        AND_WHEN("the killed one comes back with an emptied disk") {
            const std::string id = "k" + std::to_string(leader + 1);
            auto& repaired = salon.restart_keeper(id, true);
            REQUIRE(salon.run_until([&] {
                const json status = salon.keeper_status(repaired);
                return status.is_object() && status["votes_here"] == true &&
                       status["configuration_version"] == 13;
            }));
            AND_WHEN("a second one is lost right after the repair") {
                keepers[(leader + 1) % 3]->signal(SIGKILL);
                keepers[(leader + 1) % 3]->wait();
                THEN("the other two go on with everything") {
                    CHECK(salon.run_until([&] {
                        return salon.call(order(repaired, "last", 13, "last"))->head.status == 200;
                    }));
                    CHECK(in_force(14));
                }
            }
        }
    }
    GIVEN("all keepers killed at once") {
        REQUIRE(salon.call(order(*keepers[0], "o", 1, "kept"))->head.status == 200);
        for (child_process* keeper : keepers) {
            keeper->signal(SIGKILL);
            keeper->wait();
        }
        auto& back = salon.restart_keeper("k1", false);
        salon.restart_keeper("k2", false);
        THEN("a majority that comes back has what was accepted") {
            CHECK(salon.run_until(
                [&] { return salon.keeper_status(back)["configuration_version"] == 2; }));
        }
    }
    GIVEN("a majority is gone") {
        keepers[1]->signal(SIGKILL);
        keepers[2]->signal(SIGKILL);
        THEN("an order is not said to be accepted, and the entry instance serves on") {
            const auto answered = salon.call(order(*keepers[0], "o", 1, "lost"));
            CHECK(answered->head.status == 503);
            CHECK(in_force(1));
        }
    }
    GIVEN("no keeper that an instance could ask after its start") {
        for (child_process* keeper : keepers) {
            keeper->signal(SIGKILL);
        }
        entry.signal(SIGKILL);
        auto& restarted = salon.add_entry();
        http::request ready;
        ready.url = "http://" + restarted.value("admin") + "/readyz";
        THEN("it is not ready, since it does not know what is in force") {
            CHECK(salon.call(ready)->head.status == 503);
        }
    }
}
