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
    deployment test_deployment;
    fleet test_fleet(test_deployment);
    REQUIRE(test_fleet.wait_until_ready());

    GIVEN("a replica of a plain service") {
        THEN("a caller receives the complete response with the replica's signature") {
            const auto response =
                test_deployment.call(test_fleet.booking_request("r1", "a fitting"));
            CHECK(response->head.status == 200);
            CHECK(response->body == "ran a fitting");
            CHECK(response->header("X-Server-Stamp") == "stamp-of-app");
            CHECK(response->header("X-Request-Id") == "r1");
        }
        THEN("a request that matches no route gets 404, and the keeper returns the configuration") {
            http::request unrouted = test_fleet.booking_request("r2", "");
            unrouted.url = test_fleet.callers() + "/none/";
            CHECK(test_deployment.call(unrouted)->head.status == 404);
            const auto configuration =
                test_deployment.call(test_fleet.read_configuration_request());
            CHECK(json::parse(configuration->body)["version"] == 3);
        }
    }

    GIVEN("a batch job of three items") {
        REQUIRE(test_deployment.call(test_fleet.submit_job_request("j1", {"a", "b", "c"}, 1))
                    ->head.status == 202);
        THEN(
            "all results arrive, in fixed positions, with the weight versions that produced them") {
            const json results = test_fleet.results("j1", 3);
            REQUIRE(results.size() == 3);
            for (const json& result : results) {
                CHECK(result["state"] == "completed");
                CHECK(result["versions"] == json::array({1}));
                const std::string id = result["id"];
                CHECK(result["text"] == test_fleet.expected_item_text(id));
            }
            CHECK(test_fleet.results("j1", 3) == results);
        }
        AND_WHEN("the job is submitted again, and ended twice") {
            CHECK(test_deployment.call(test_fleet.submit_job_request("j1", {"a", "b", "c"}, 1))
                      ->head.status == 202);
            CHECK(test_deployment.call(test_fleet.end_job_request("j1"))->head.status == 200);
            CHECK(test_deployment.call(test_fleet.end_job_request("j1"))->head.status == 200);
            THEN("each call succeeds, and the end of an unknown job gets 404") {
                CHECK(test_deployment.call(test_fleet.end_job_request("none"))->head.status == 404);
            }
        }
    }

    GIVEN("a batch job whose items have scorers") {
        WHEN("the grading service answers") {
            const auto submitted = test_deployment.call(
                test_fleet.submit_scored_job_request("s1", {"p", "q"}, "/b/grade/"));
            REQUIRE(submitted->head.status == 202);
            const json results = test_fleet.results("s1", 2);
            THEN("each result carries the signature of its own score request's response") {
                REQUIRE(results.size() == 2);
                for (const json& result : results) {
                    const std::string id = result["id"];
                    CHECK(result["state"] == "completed");
                    CHECK(result["text"] == test_fleet.expected_item_text(id));
                    CHECK(result["score"] == "stamp-of-app");
                    const auto& requests = test_fleet.service().executed_request_ids();
                    CHECK(std::count(requests.begin(), requests.end(),
                                     fleet::score_request_id(id)) == 1);
                }
            }
        }
        WHEN("the grading service fails once") {
            test_fleet.service().fail_requests(1);
            test_deployment.call(test_fleet.submit_scored_job_request("s2", {"r"}, "/b/grade/"));
            THEN("the request is repeated, and the text is not generated again") {
                const json results = test_fleet.results("s2", 1);
                REQUIRE(results.size() == 1);
                CHECK(results[0]["score"] == "stamp-of-app");
                const auto& runs = test_fleet.engine().executed_request_ids();
                CHECK(std::count(runs.begin(), runs.end(), "r") == 1);
            }
        }
        WHEN("the grading service fails each time") {
            constexpr int many = 100;
            test_fleet.service().fail_requests(many);
            test_deployment.call(test_fleet.submit_scored_job_request("s3", {"s"}, "/b/grade/"));
            THEN("the item is given up after the route's number of attempts") {
                const json results = test_fleet.results("s3", 1);
                REQUIRE(results.size() == 1);
                CHECK(results[0]["state"] == "terminated");
                const auto& requests = test_fleet.service().executed_request_ids();
                CHECK(std::count(requests.begin(), requests.end(), "score-s") == 3);
                test_fleet.service().fail_requests(0);
            }
        }
        WHEN("no route matches the score requests") {
            test_deployment.call(test_fleet.submit_scored_job_request("s4", {"t"}, "/none/"));
            test_deployment.wait(std::chrono::milliseconds(500));
            THEN("the item waits, and is not listed as completed") {
                CHECK(test_fleet.results("s4", 0).empty());
            }
        }
        WHEN("a scorer has no host") {
            http::request request = test_fleet.submit_scored_job_request("s5", {"u"}, "/b/grade/");
            json body = json::parse(request.body);
            body["requests"][0]["scorerUrl"].erase("host");
            request.body = body.dump();
            THEN("the job is rejected, and the error names item and field") {
                const auto rejected = test_deployment.call(request);
                CHECK(rejected->head.status == 400);
                CHECK(rejected->body.find("requests[0].scorerUrl.host") != std::string::npos);
            }
        }
    }

    GIVEN("a caller that disconnected before its response") {
        test_fleet.service().hold_responses(true);
        auto abandoned = test_deployment.begin(test_fleet.booking_request("left", ""));
        REQUIRE(test_deployment.run_until([&] {
            const auto& requests = test_fleet.service().executed_request_ids();
            return std::count(requests.begin(), requests.end(), "left") == 1;
        }));
        abandoned->call.reset();
        test_deployment.wait(std::chrono::milliseconds(200));
        WHEN("the gateway receives SIGTERM") {
            test_fleet.gateway().signal(SIGTERM);
            THEN("its request does not hold up the planned stop") {
                CHECK(test_deployment.run_until([&] { return test_fleet.gateway().has_exited(); }));
                CHECK(test_fleet.gateway().wait() == 0);
            }
        }
    }

    GIVEN("an engine that interrupts an item's stream in the middle") {
        test_fleet.engine().interrupt_responses_after(2, 1);
        test_deployment.call(test_fleet.submit_job_request("j2", {"d"}, 1));
        THEN("the item resumes after its last event, and its text is complete") {
            const json results = test_fleet.results("j2", 1);
            REQUIRE(results.size() == 1);
            CHECK(results[0]["text"] == test_fleet.expected_item_text("d"));
            const auto& run_items = test_fleet.engine().executed_request_ids();
            CHECK(std::count(run_items.begin(), run_items.end(), "d") == 2);
        }
    }

    GIVEN("an engine that interrupts an item's stream right after the last event") {
        test_fleet.engine().interrupt_responses_after(5, 1);
        test_deployment.call(test_fleet.submit_job_request("j5", {"h"}, 1));
        THEN("another run, which sends no further event, completes the item") {
            const json results = test_fleet.results("j5", 1);
            REQUIRE(results.size() == 1);
            CHECK(results[0]["text"] == test_fleet.expected_item_text("h"));
            CHECK(results[0]["state"] == "completed");
        }
    }

    GIVEN("a job that requires newer weights") {
        test_deployment.call(test_fleet.submit_job_request("j3", {"e"}, 2));
        WHEN("the trainer publishes them") {
            CHECK(test_deployment.call(test_fleet.publish_weights_request(2))->head.status == 200);
            THEN("the engine loads them, and the result names their version") {
                const json results = test_fleet.results("j3", 1);
                REQUIRE(results.size() == 1);
                CHECK(results[0]["versions"] == json::array({2}));
                CHECK(test_fleet.engine().weight_version() == 2);
            }
        }
    }

    GIVEN("a store that is killed after it accepted a job") {
        test_deployment.call(test_fleet.submit_job_request("j4", {"f", "g"}, 1));
        const json before = test_fleet.results("j4", 2);
        test_fleet.kill_store();
        test_fleet.start_store();
        THEN("the job and its results are the same after the restart") {
            CHECK(test_fleet.results("j4", 2) == before);
        }
    }

    GIVEN("a keeper that starts after all replicas have registered with another keeper") {
        child_process& late_keeper = test_fleet.add_keeper("late", "127.0.0.8");
        THEN("it receives their records, although these no longer change") {
            CHECK(test_deployment.run_until([&] {
                const json status = test_deployment.keeper_status(late_keeper);
                return status.contains("targets") && status["targets"] == 2;
            }));
        }
    }

    // Operators of similar systems saw one odd entry end every process that read the list.
    GIVEN("another writer that sends odd heartbeats, and odd deregistrations of a replica") {
        http::request odd = test_fleet.read_configuration_request();
        odd.method = "POST";
        const std::string base = odd.url.substr(0, odd.url.find("/kingcupcart/"));
        const std::string start = R"({"service":"app","address":"127.0.0.5:)";
        const std::string rest =
            R"(","zone":"local","version":"v1","state":"ready","seq":1,"slots":)";
        const std::string deep = std::string(20000, '[') + std::string(20000, ']');
        const std::vector<std::string> unreadable{
            std::string(500000, '['), "\xff\xfe", start + "80" + rest + "1e400}",
            start + "80" + rest + R"(4,"born":18446744073709551615})",
            start + "80" + rest + R"(4,"more":)" + deep + "}"};
        for (const std::string& body : unreadable) {
            odd.body = body;
            odd.url = base + "/kingcupcart/replicas/app/heartbeat";
            CHECK(test_deployment.call(odd)->head.status == 400);
            odd.url = base + "/kingcupcart/replicas/app/deregister";
            CHECK(test_deployment.call(odd)->head.status == 400);
        }
        for (const std::string& body : {start + "99999999" + rest + "4}", start + "0" + rest + "4}",
                                        start + "80" + rest + "4294967296}"}) {
            odd.body = body;
            odd.url = base + "/kingcupcart/replicas/app/heartbeat";
            CHECK(test_deployment.call(odd)->head.status == 400);
        }
        THEN("the replicas stay in use") {
            CHECK(test_deployment.call(test_fleet.booking_request("after", ""))->head.status ==
                  200);
            CHECK(test_deployment.call(test_fleet.submit_job_request("after", {"i"}, 1))
                      ->head.status == 202);
            CHECK(test_fleet.results("after", 1).size() == 1);
        }
    }

    // A machine that is cut off from the keepers learns only from a response that a replica leaves.
    GIVEN("a replica whose responses say that it leaves, while its heartbeats do not") {
        const auto is_refused = [&](const std::string& name) {
            return test_deployment.call(test_fleet.booking_request(name, ""))->head.status == 503;
        };
        test_fleet.service().announce_leaving_in_responses();
        const auto response = test_deployment.call(test_fleet.booking_request("last", ""));
        CHECK(response->head.status == 200);
        CHECK(response->header("Server-Leaving") == "1");
        THEN("no request is sent to it any more, at this gateway and at others") {
            CHECK(is_refused("next"));
            // Several heartbeats later, a new gateway knows it from the keepers.
            constexpr const char* ip = "127.0.0.6";
            test_deployment.add_process("other",
                                        test_fleet.gateway_settings("other", ip, "127.0.0.2"));
            CHECK(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
            test_deployment.wait(std::chrono::seconds(1));
            http::request elsewhere = test_fleet.booking_request("elsewhere", "");
            elsewhere.url = test_fleet.callers_at(ip) + "/b/1";
            CHECK(test_deployment.call(elsewhere)->head.status == 503);
            CHECK(is_refused("later"));
            CHECK(test_fleet.service().executed_request_ids().back() == "last");
        }
    }

    GIVEN("an engine whose responses say that it leaves") {
        test_fleet.engine().announce_leaving_in_responses();
        REQUIRE(
            test_deployment.call(test_fleet.submit_job_request("one", {"i1"}, 1))->head.status ==
            202);
        REQUIRE(test_fleet.results("one", 1).size() == 1);
        const auto run_count = test_fleet.engine().executed_request_ids().size();
        THEN("no further item is sent to it") {
            REQUIRE(test_deployment.call(test_fleet.submit_job_request("two", {"i2"}, 1))
                        ->head.status == 202);
            test_deployment.wait(std::chrono::seconds(2));
            CHECK(test_fleet.engine().executed_request_ids().size() == run_count);
        }
    }

    GIVEN("a gateway whose settings name an address at which no keeper runs") {
        constexpr const char* ip = "127.0.0.6";
        constexpr const char* unused_ip = "127.0.0.7";
        child_process& other_gateway = test_deployment.add_process(
            "other", test_fleet.gateway_settings("other", ip, unused_ip));
        test_deployment.wait(std::chrono::milliseconds(500));
        CHECK_FALSE(test_fleet.reports_ready(ip));
        WHEN("its settings file names a running keeper and it receives SIGHUP") {
            std::ofstream(test_deployment.path_of("other.ini"))
                << test_fleet.gateway_settings("other", ip, "127.0.0.2");
            other_gateway.signal(SIGHUP);
            THEN("it joins the fleet") {
                CHECK(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
            }
        }
    }

    GIVEN("a gateway whose log goes to a pipe that nobody reads") {
        constexpr const char* ip = "127.0.0.6";
        std::string settings = test_fleet.gateway_settings("talker", ip, "127.0.0.2");
        const std::string quiet_level = "level = error";
        settings.replace(settings.find(quiet_level), quiet_level.size(),
                         "level = info\nstream = stdout");
        child_process& verbose_gateway = test_deployment.add_process("talker", settings);
        REQUIRE(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
        http::request unrouted = test_fleet.booking_request("r", "");
        unrouted.url = test_fleet.callers_at(ip) + "/none/" + std::string(200, 'x');
        // Each refusal logs a line with the path; together they exceed the capacity of a pipe.
        constexpr int refusal_count = 600;
        for (int i = 0; i < refusal_count; ++i) {
            REQUIRE(test_deployment.call(unrouted)->head.status == 404);
        }
        WHEN("it receives SIGTERM") {
            verbose_gateway.signal(SIGTERM);
            THEN("it exits with code 0 nevertheless") {
                CHECK(test_deployment.run_until([&] { return verbose_gateway.has_exited(); }));
                CHECK(verbose_gateway.wait() == 0);
            }
        }
    }

    GIVEN("a gateway that receives SIGTERM") {
        test_fleet.gateway().signal(SIGTERM);
        THEN("it reports not ready, serves during its stop grace, and exits with code 0") {
            CHECK(test_deployment.run_until([&] { return !test_fleet.reports_ready(); }));
            CHECK(test_deployment.call(test_fleet.booking_request("r3", "late"))->head.status ==
                  200);
            CHECK(test_fleet.gateway().wait() == 0);
        }
    }
}

// A gateway that was stopping passed on requests that it could not finish any more, and cut them
// off at its stop limit (review, case 5).
SCENARIO("a planned stop answers or refuses every request") {
    deployment test_deployment;
    fleet test_fleet(test_deployment);
    REQUIRE(test_fleet.wait_until_ready());
    constexpr const char* ip = "127.0.0.6";
    std::string settings = test_fleet.gateway_settings("stopping", ip, "127.0.0.2");
    const std::string grace = "stop-grace = 1s";
    settings.replace(settings.find(grace), grace.size(), grace + "\nkill-after = 4s");
    child_process& gateway = test_deployment.add_process("stopping", settings);
    REQUIRE(test_deployment.run_until([&] { return test_fleet.reports_ready(ip); }));
    const auto make_request = [&](const std::string& name) {
        http::request request = test_fleet.booking_request(name, "");
        request.url = test_fleet.callers_at(ip) + "/s/";
        // Longer than the stop may take.
        request.headers = {{"Host", "shop"}, {"X-Request-Id", name}, {"X-Deadline-Ms", "20000"}};
        return request;
    };
    const auto count_runs = [&](const std::string& name) {
        const auto& requests = test_fleet.service().executed_request_ids();
        return std::count(requests.begin(), requests.end(), name);
    };

    GIVEN("callers with open connections, and a request whose target does not respond") {
        std::vector<std::unique_ptr<client_call>> openers;
        for (const char* name : {"open1", "open2", "open3"}) {
            openers.push_back(test_deployment.begin(make_request(name)));
        }
        for (const auto& opener : openers) {
            REQUIRE(test_deployment.run_until([&] { return opener->is_completed; }));
        }
        test_fleet.service().hold_responses(true);
        const auto held = test_deployment.begin(make_request("held"));
        INFO("held: completed=", held->is_completed, " status=", held->head.status,
             " body=", held->body);
        REQUIRE(test_deployment.run_until([&] { return count_runs("held") == 1; }));
        test_fleet.service().hold_responses(false);

        WHEN("the gateway receives SIGTERM, and another one during the stop") {
            gateway.signal(SIGTERM);
            test_deployment.wait(std::chrono::milliseconds(300));
            const auto in_grace = test_deployment.call(make_request("in-grace"));
            test_deployment.wait(std::chrono::seconds(1));
            gateway.signal(SIGTERM);
            const auto after_grace = test_deployment.call(make_request("after-grace"));
            THEN("it serves during its grace period, and says that the connection closes") {
                CHECK(in_grace->head.status == 200);
                CHECK(in_grace->header("Connection") == "close");
            }
            THEN("it refuses requests after that, and does not pass them on") {
                CHECK(after_grace->head.status == 503);
                CHECK(after_grace->header("Connection") == "close");
                CHECK(count_runs("after-grace") == 0);
            }
            THEN("the request that does not end gets a final response before the gateway exits") {
                CHECK(test_deployment.run_until([&] { return held->is_completed; }));
                CHECK(held->result == http::call_result::complete);
                CHECK(held->head.status == 504);
                CHECK(gateway.wait() == 0);
            }
        }
    }

    GIVEN("a service whose runs take 3 s") {
        test_fleet.service().hold_responses(true);
        std::vector<std::unique_ptr<client_call>> calls;
        for (const char* name : {"slow1", "slow2", "slow3"}) {
            calls.push_back(test_deployment.begin(make_request(name)));
        }
        test_deployment.wait(std::chrono::seconds(3));
        test_fleet.service().answer_held_requests();
        for (const auto& call : calls) {
            REQUIRE(test_deployment.run_until([&] { return call->is_completed; }));
            REQUIRE(call->head.status == 200);
        }
        WHEN("a request that may not be repeated arrives late in the grace period") {
            gateway.signal(SIGTERM);
            test_deployment.wait(std::chrono::milliseconds(800));
            const auto late = test_deployment.call(make_request("late"));
            THEN("it is refused at once as not run, since it could not end before the stop") {
                CHECK(late->head.status == 503);
                CHECK(late->header("Connection") == "close");
                CHECK(count_runs("late") == 0);
                CHECK_FALSE(gateway.has_exited());
            }
        }
    }
}

// What a process missed while it was frozen, or lost at its restart, left replicas in use that had
// left (review: DRAIN after a restart of the core, and after a freeze).
SCENARIO("a replica that left is not used again") {
    deployment test_deployment;
    fleet test_fleet(test_deployment);
    REQUIRE(test_fleet.wait_until_ready());
    int bookings = 0;
    const auto is_served = [&] {
        const std::string name = "b" + std::to_string(++bookings);
        return test_deployment.call(test_fleet.booking_request(name, ""))->head.status == 200;
    };
    REQUIRE(is_served());
    const auto deregisters = [&] {
        return test_deployment.call(test_fleet.deregister_service_request())->head.status == 200;
    };

    GIVEN("a keeper that has restarted and does not know the replica yet") {
        test_fleet.set_heartbeats(false);
        test_fleet.restart_keeper();
        WHEN("the replica says that it is gone") {
            REQUIRE(test_deployment.run_until(deregisters));
            THEN("gateways that know it stop using it, also after a late heartbeat") {
                CHECK(test_deployment.run_until([&] { return !is_served(); }));
                test_fleet.set_heartbeats(true);
                test_deployment.wait(std::chrono::seconds(2));
                CHECK_FALSE(is_served());
            }
        }
    }
    GIVEN("a gateway that froze for longer than its links to the keepers last") {
        test_fleet.gateway().signal(SIGSTOP);
        test_deployment.wait(std::chrono::seconds(5));
        REQUIRE(deregisters());
        WHEN("it goes on") {
            test_fleet.gateway().signal(SIGCONT);
            THEN("it learns on its new link that the replica is gone") {
                CHECK(test_deployment.run_until([&] { return !is_served(); }));
            }
        }
    }
}
