#include "process/deployment.h"
#include "stand_ins/expected_text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using nlohmann::json;

namespace {

std::string completion(const std::string& prompt, int tokens, bool stream) {
    return json{
        {"model", "stylist-lm"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}}
        .dump();
}

/// The text of a stream of server-sent events; empty if it has an error or doesn't end with [DONE].
std::string stream_text(const std::string& body) {
    std::string text;
    bool is_done = false;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line == "data: [DONE]") {
            is_done = true;
        } else if (line == "event: error") {
            return "";
        } else if (line.starts_with("data: ")) {
            text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
    }
    return is_done ? text : "";
}

std::string response_text(const std::string& body) {
    const json response = json::parse(body, nullptr, false);
    const bool has_choices = response.is_object() && response.contains("choices");
    return has_choices ? response["choices"][0].value("text", "") : "";
}

std::string expected(const std::string& prompt, int tokens) {
    return stand_ins::expected_text(prompt, tokens);
}

http::request get(child_process& instance, const std::string& path,
                  const char* address_key = "callers") {
    http::request request;
    request.url = "http://" + instance.value(address_key) + path;
    return request;
}

} // namespace

SCENARIO("a request is served from end to end") {
    deployment test_deployment;
    auto& keeper = test_deployment.add_keeper();
    auto& first = test_deployment.add_entry();
    auto& second = test_deployment.add_entry();
    GIVEN("an engine and a service that announce themselves to the first instance") {
        auto& engine = test_deployment.add_engine("g1", first);
        auto& service = test_deployment.add_service("s1", first);
        REQUIRE(test_deployment.wait_for_targets(first, 2));
        THEN("the second instance receives their records too") {
            CHECK(test_deployment.wait_for_targets(second, 2));
        }
        REQUIRE(test_deployment.wait_for_targets(second, 2));
        WHEN("callers post to either instance") {
            for (child_process* entry : {&first, &second}) {
                const auto plain = test_deployment.call(
                    post(*entry, "/v1/completions", completion("veil", 5, false)));
                CHECK(plain->head.status == 200);
                CHECK(plain->header("Kingcupcart-Outcome") == "answered");
                CHECK(response_text(plain->body) == expected("veil", 5));
                CHECK(json::parse(plain->body)["weight_versions"] == json::array({1}));
                const auto stream = test_deployment.call(
                    post(*entry, "/v1/completions", completion("hem", 7, true)));
                CHECK(stream_text(stream->body) == expected("hem", 7));
                const auto chat = test_deployment.call(post(
                    *entry, "/v1/chat/completions",
                    R"({"model":"stylist-lm","messages":[{"role":"user","content":"lace"}],"max_tokens":2})"));
                CHECK(json::parse(chat->body)["choices"][0]["message"]["content"] ==
                      expected("lace", 2));
                const auto booking = test_deployment.call(
                    post(*entry, "/services/provbok/fittings?day=5", R"({"bride":7})"));
                CHECK(booking->head.status == 200);
                CHECK(json::parse(booking->body)["path"] == "/fittings?day=5");
                CHECK(json::parse(booking->body)["body"] == R"({"bride":7})");
            }
            CHECK(service.lines().size() == 2);
        }
        WHEN("a malformed request arrives") {
            THEN("it is refused with a clear error, and the instance keeps serving") {
                const auto body =
                    test_deployment.call(post(first, "/v1/completions", "{\"model\":"));
                CHECK(body->head.status == 400);
                CHECK(body->header("Kingcupcart-Outcome") == "not_run");
                const auto announcement = test_deployment.call(
                    post(first, "/targets/announce", R"({"id":"x","kind":"toaster"})"));
                CHECK(announcement->head.status == 400);
                CHECK(announcement->body.find("'kind' must be engine or service") !=
                      std::string::npos);
                const auto path = test_deployment.call(get(first, "/v1/nothing"));
                CHECK(path->head.status == 404);
                const auto unknown_class =
                    test_deployment.call(post(first, "/v1/completions", completion("x", 1, false),
                                              {{"Kingcupcart-Class", "nonsense"}}));
                CHECK(unknown_class->head.status == 400);
                http::request stray_request;
                stray_request.url = "http://" + first.value("entry") + "/not-a-link";
                CHECK(test_deployment.call(stray_request)->head.status != 200);
                CHECK(response_text(
                          test_deployment
                              .call(post(first, "/v1/completions", completion("veil", 5, false)))
                              ->body) == expected("veil", 5));
            }
        }
        WHEN("an operator reads health, metrics and status") {
            CHECK(test_deployment.call(get(first, "/healthz", "admin"))->body == "ok\n");
            CHECK(test_deployment.call(get(first, "/readyz", "admin"))->body == "ready\n");
            CHECK(test_deployment.call(get(first, "/metrics", "admin"))
                      ->body.find("kingcupcart_targets 2") != std::string::npos);
            const json keeper_status = json::parse(test_deployment.status(keeper));
            CHECK(keeper_status["keeper"]["instances"].size() == 2);
        }
        WHEN("a caller disconnects in the middle of its stream") {
            auto abandoned = test_deployment.begin(
                post(first, "/v1/completions", completion("veil", 9000, true)));
            REQUIRE(test_deployment.run_until([&] { return abandoned->body.size() > 100; }));
            abandoned->call.reset();
            THEN("the engine cancels its work") {
                CHECK(test_deployment.run_until([&] {
                    const auto counts = test_deployment.call(get(engine, "/counts", "address"));
                    return json::parse(counts->body)["cancelled"] == 1;
                }));
            }
        }
        WHEN("the only engine is killed in the middle of a stream") {
            auto interrupted = test_deployment.begin(
                post(first, "/v1/completions", completion("veil", 9000, true)));
            REQUIRE(test_deployment.run_until([&] { return interrupted->body.size() > 100; }));
            engine.signal(SIGKILL);
            REQUIRE(test_deployment.run_until([&] { return interrupted->is_completed; }));
            THEN("the caller receives an error event with its outcome, and no [DONE]") {
                CHECK(interrupted->body.find("event: error") != std::string::npos);
                CHECK(interrupted->body.find("\"outcome\":\"unknown\"") != std::string::npos);
                CHECK(interrupted->body.find("[DONE]") == std::string::npos);
            }
        }
        WHEN("an engine is killed while another one runs") {
            test_deployment.add_engine("g2", second);
            REQUIRE(test_deployment.wait_for_targets(first, 3));
            std::vector<std::unique_ptr<client_call>> callers;
            for (int i = 0; i < 8; ++i) {
                callers.push_back(test_deployment.begin(
                    post(first, "/v1/completions",
                         completion("prompt " + std::to_string(i), 400, i % 2 == 0))));
            }
            REQUIRE(test_deployment.run_until([&] { return callers[0]->body.size() > 1000; }));
            engine.signal(SIGKILL);
            REQUIRE(test_deployment.run_until([&] {
                return std::all_of(callers.begin(), callers.end(),
                                   [](const auto& call) { return call->is_completed; });
            }));
            THEN(
                "each caller still receives its own complete text, continued by the other engine") {
                for (int i = 0; i < 8; ++i) {
                    const auto& body = callers[static_cast<std::size_t>(i)]->body;
                    CHECK((i % 2 == 0 ? stream_text(body) : response_text(body)) ==
                          expected("prompt " + std::to_string(i), 400));
                }
            }
        }
    }
    GIVEN("no target is registered") {
        const auto refused =
            test_deployment.call(post(first, "/v1/completions", completion("veil", 5, false)));
        CHECK(refused->head.status == 503);
        CHECK(refused->header("Kingcupcart-Outcome") == "not_run");
        CHECK(refused->header("Retry-After") == "1");
    }
    GIVEN("a new configuration") {
        http::request change_request;
        change_request.method = "POST";
        change_request.url = "http://" + keeper.value("admin") + "/configuration";
        change_request.content_type = "application/json";
        change_request.body =
            json{{"order_id", "o1"},
                 {"base", 1},
                 {"text", "[deployment]\nname = closed\n[class query]\nurgency = short\n"}}
                .dump();
        CHECK(json::parse(test_deployment.call(change_request)->body)["version"] == 2);
        THEN("it is in force on every instance within seconds") {
            for (child_process* entry : {&first, &second}) {
                CHECK(test_deployment.run_until([&] {
                    return json::parse(test_deployment.status(
                               *entry))["entry"]["configuration_version"] == 2;
                }));
                CHECK(test_deployment
                          .call(post(*entry, "/v1/completions", completion("x", 1, false)))
                          ->head.status == 404);
            }
        }
    }
}

SCENARIO("a planned stop completes all open requests") {
    deployment test_deployment;
    auto& entry = test_deployment.add_entry();
    auto& engine =
        test_deployment.add_engine("g1", entry, {"--slots", "64", "--interval-us", "8000"});
    REQUIRE(test_deployment.wait_for_targets(entry, 1));
    std::vector<std::unique_ptr<client_call>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(test_deployment.begin(
            post(entry, "/v1/completions", completion("p" + std::to_string(i), 300, i % 2 == 0))));
    }
    REQUIRE(test_deployment.run_until([&] {
        return json::parse(test_deployment.status(entry))["entry"]["open_requests"] ==
               callers.size();
    }));
    GIVEN("SIGTERM to the entry instance under load") {
        entry.signal(SIGTERM);
    }
    GIVEN("SIGTERM to the engine under load") {
        engine.signal(SIGTERM);
    }
    REQUIRE(test_deployment.run_until([&] {
        return std::all_of(callers.begin(), callers.end(),
                           [](const auto& call) { return call->is_completed; });
    }));
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const std::string text =
            i % 2 == 0 ? stream_text(callers[i]->body) : response_text(callers[i]->body);
        CAPTURE(callers[i]->body);
        CHECK(text == expected("p" + std::to_string(i), 300));
    }
}

SCENARIO("a booking runs at most once, whatever is resent where") {
    deployment test_deployment;
    test_deployment.add_keeper();
    auto& first = test_deployment.add_entry();
    auto& second = test_deployment.add_entry();
    auto& service = test_deployment.add_service("s1", first, {"--first-us", "400000"});
    REQUIRE(test_deployment.wait_for_targets(second, 1));
    const auto issued = test_deployment.call(post(first, "/v1/idempotency-keys", ""));
    const std::string key = json::parse(issued->body)["key"];
    const std::vector<header_field> keyed{{"Idempotency-Key", key}};
    GIVEN("a resend to the other instance while the booking runs") {
        auto original =
            test_deployment.begin(post(first, "/services/provbok/book", "bride", keyed));
        REQUIRE(test_deployment.run_until([&] { return service.lines().size() == 1; }));
        const auto resent =
            test_deployment.call(post(second, "/services/provbok/book", "bride", keyed));
        REQUIRE(test_deployment.run_until([&] { return original->is_completed; }));
        THEN("both callers receive the response of the single run") {
            CHECK(original->head.status == 200);
            CHECK(resent->head.status == 200);
            CHECK(original->body == resent->body);
            CHECK(service.lines().size() == 1);
        }
        WHEN("the key is reused with another body") {
            const auto reused =
                test_deployment.call(post(first, "/services/provbok/book", "groom", keyed));
            CHECK(reused->head.status == 422);
            CHECK(service.lines().size() == 1);
        }
    }
    GIVEN("the key's owner is killed during the booking") {
        auto original =
            test_deployment.begin(post(first, "/services/provbok/book", "bride", keyed));
        REQUIRE(test_deployment.run_until([&] { return service.lines().size() == 1; }));
        first.signal(SIGKILL);
        const auto resent =
            test_deployment.call(post(second, "/services/provbok/book", "bride", keyed));
        THEN("the resend gets the outcome unknown, and nothing runs twice") {
            CHECK(resent->header("Kingcupcart-Outcome") == "unknown");
            CHECK(service.lines().size() == 1);
        }
    }
    GIVEN("a key that the caller made up") {
        const std::vector<header_field> caller_key{{"Idempotency-Key", "bride-7"}};
        auto original =
            test_deployment.begin(post(second, "/services/provbok/book", "bride", caller_key));
        const bool has_arrived =
            test_deployment.run_until([&] { return service.lines().size() == 1; });
        CAPTURE(original->head.status);
        CAPTURE(original->body);
        REQUIRE(has_arrived);
        const auto resent =
            test_deployment.call(post(first, "/services/provbok/book", "bride", caller_key));
        CHECK(resent->head.status == 200);
        CHECK(service.lines().size() == 1);
    }
}
