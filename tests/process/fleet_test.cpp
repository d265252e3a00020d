#include "process/deployment.h"
#include "process/fleet.h"
#include "stand_ins/platform_replica.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using nlohmann::json;

SCENARIO("a fleet serves requests, batch jobs and new weights") {
    deployment salon;
    fleet platform(salon);
    REQUIRE(platform.is_ready());

    GIVEN("a replica of a plain service") {
        THEN("a caller gets its whole answer, signed") {
            const auto answer = salon.call(platform.book("r1", "a fitting"));
            CHECK(answer->head.status == 200);
            CHECK(answer->body == "ran a fitting");
            CHECK(answer->header("X-Server-Stamp") == "stamp-of-app");
            CHECK(answer->header("X-Request-Id") == "r1");
        }
        THEN("what no route leads to is refused as such, an unreachable configuration is read") {
            http::request stray = platform.book("r2", "");
            stray.url = platform.callers() + "/none/";
            CHECK(salon.call(stray)->head.status == 404);
            const auto read = salon.call(platform.read_configuration());
            CHECK(json::parse(read->body)["version"] == 3);
        }
    }

    GIVEN("a batch job of three items") {
        REQUIRE(salon.call(platform.submit("j1", {"a", "b", "c"}, 1))->head.status == 202);
        THEN("all results come, in fixed positions, with the weights that made them") {
            const json results = platform.results("j1", 3);
            REQUIRE(results.size() == 3);
            for (const json& result : results) {
                CHECK(result["state"] == "completed");
                CHECK(result["versions"] == json::array({1}));
                const std::string id = result["id"];
                CHECK(result["text"] == platform.text_of(id));
            }
            CHECK(platform.results("j1", 3) == results);
        }
        AND_WHEN("it is submitted again, and ended twice") {
            CHECK(salon.call(platform.submit("j1", {"a", "b", "c"}, 1))->head.status == 202);
            CHECK(salon.call(platform.end("j1"))->head.status == 200);
            CHECK(salon.call(platform.end("j1"))->head.status == 200);
            THEN("there is one job") {
                CHECK(salon.call(platform.end("none"))->head.status == 404);
            }
        }
    }

    GIVEN("an engine whose stream breaks off in the middle") {
        platform.engine().break_after(2, 1);
        salon.call(platform.submit("j2", {"d"}, 1));
        THEN("the item goes on after its last event and its text is whole") {
            const json results = platform.results("j2", 1);
            REQUIRE(results.size() == 1);
            CHECK(results[0]["text"] == platform.text_of("d"));
            const auto& ran = platform.engine().ran();
            CHECK(std::count(ran.begin(), ran.end(), "d") == 2);
        }
    }

    GIVEN("an engine whose stream breaks off right after the last event") {
        platform.engine().break_after(5, 1);
        salon.call(platform.submit("j5", {"h"}, 1));
        THEN("the empty rest of another run completes the item") {
            const json results = platform.results("j5", 1);
            REQUIRE(results.size() == 1);
            CHECK(results[0]["text"] == platform.text_of("h"));
            CHECK(results[0]["state"] == "completed");
        }
    }

    GIVEN("a job that allows new weights only") {
        salon.call(platform.submit("j3", {"e"}, 2));
        WHEN("its trainer names them") {
            CHECK(salon.call(platform.name_weights(2))->head.status == 200);
            THEN("the engine takes them, and the result names them") {
                const json results = platform.results("j3", 1);
                REQUIRE(results.size() == 1);
                CHECK(results[0]["versions"] == json::array({2}));
                CHECK(platform.engine().version() == 2);
            }
        }
    }

    GIVEN("a store that is killed after it accepted a job") {
        salon.call(platform.submit("j4", {"f", "g"}, 1));
        const json before = platform.results("j4", 2);
        platform.kill_store();
        platform.start_store();
        THEN("job and results are there as before") {
            CHECK(platform.results("j4", 2) == before);
        }
    }

    GIVEN("a keeper that starts when all replicas have told another one of themselves") {
        child_process& late = platform.add_keeper("late", "127.0.0.8");
        THEN("it knows them too, though they have no news") {
            CHECK(salon.run_until([&] {
                const json status = salon.keeper_status(late);
                return status.contains("targets") && status["targets"] == 2;
            }));
        }
    }

    GIVEN("a gateway whose settings name a keeper that is gone") {
        constexpr const char* ip = "127.0.0.6";
        constexpr const char* nowhere = "127.0.0.7";
        child_process& other =
            salon.add_process("other", platform.gateway_settings("other", ip, nowhere));
        salon.wait(std::chrono::milliseconds(500));
        CHECK_FALSE(platform.says_ready(ip));
        WHEN("its file names another and a reload is asked for") {
            std::ofstream(salon.path_of("other.ini"))
                << platform.gateway_settings("other", ip, "127.0.0.2");
            other.signal(SIGHUP);
            THEN("it finds the fleet") {
                CHECK(salon.run_until([&] { return platform.says_ready(ip); }));
            }
        }
    }

    GIVEN("a gateway whose log goes to a pipe that nobody reads") {
        constexpr const char* ip = "127.0.0.6";
        std::string settings = platform.gateway_settings("talker", ip, "127.0.0.2");
        const std::string quiet = "level = error";
        settings.replace(settings.find(quiet), quiet.size(), "level = info\nstream = stdout");
        child_process& talker = salon.add_process("talker", settings);
        REQUIRE(salon.run_until([&] { return platform.says_ready(ip); }));
        http::request stray = platform.book("r", "");
        stray.url = platform.callers_at(ip) + "/none/" + std::string(200, 'x');
        // Each refusal is a line that names the path: far more than a pipe holds.
        constexpr int refusals = 600;
        for (int i = 0; i < refusals; ++i) {
            REQUIRE(salon.call(stray)->head.status == 404);
        }
        WHEN("it is asked to stop") {
            talker.signal(SIGTERM);
            THEN("it ends all the same") {
                CHECK(salon.run_until([&] { return talker.has_ended(); }));
                CHECK(talker.wait() == 0);
            }
        }
    }

    GIVEN("a gateway that is asked to stop") {
        platform.gateway().signal(SIGTERM);
        THEN("it says that it is not ready, goes on serving for its grace, and exits cleanly") {
            CHECK(salon.run_until([&] { return !platform.says_ready(); }));
            CHECK(salon.call(platform.book("r3", "late"))->head.status == 200);
            CHECK(platform.gateway().wait() == 0);
        }
    }
}
