#include "process/deployment.h"
#include "process/fleet.h"
#include "stand_ins/platform_replica.h"

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

const std::string north_key = "north-secret-1";
const std::string second_north_key = "north-secret-2";
const std::string east_key = "east secret, odd: \\\"{}%";

/// The values of the request's header fields with this name.
std::vector<std::string> values_of(const std::vector<header_field>& headers,
                                   const std::string& name) {
    std::vector<std::string> values;
    for (const header_field& field : headers) {
        if (field.name == name) {
            values.push_back(field.value);
        }
    }
    return values;
}

http::request with_key(http::request request, const std::string& key) {
    request.headers.push_back({"Authorization", "Token " + key});
    return request;
}

http::request configuration_with(const fleet& test_fleet, int version, const json& tenants) {
    http::request request = test_fleet.put_configuration_request(version);
    json document = json::parse(request.body);
    document["tenants"] = tenants;
    document["routes"][1]["public"] = true;
    request.body = document.dump();
    return request;
}

http::request job_call(const fleet& test_fleet, const std::string& method,
                       const std::string& path) {
    http::request request = test_fleet.end_job_request("j");
    request.method = method;
    request.url = test_fleet.callers() + path;
    return request;
}

} // namespace

// Guards against requests that run without an account, against keys that reach a target or a log,
// and against jobs that another account reaches.
SCENARIO("callers need keys of their accounts") {
    deployment test_deployment;
    fleet_options options;
    options.log_settings = "level = trace\nstream = stdout\n";
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    const auto status_of = [&](const http::request& request) {
        return test_deployment.call(request)->head.status;
    };
    const json tenants = {{{"name", "north"}, {"apiKeys", {north_key, second_north_key}}},
                          {{"name", "east"}, {"apiKeys", {east_key}}}};
    REQUIRE(status_of(configuration_with(test_fleet, 4, tenants)) == 200);
    const auto is_in_force = [&] {
        return status_of(test_fleet.booking_request("probe", "")) == 401;
    };
    REQUIRE(test_deployment.run_until(is_in_force));

    WHEN("a caller states a key, and an account of its own invention") {
        http::request request = with_key(test_fleet.booking_request("r1", ""), east_key);
        request.headers.push_back({"X-Tenant", "north"});
        CHECK(status_of(request) == 200);
        THEN("the replica sees the account of the key, and no key") {
            const auto& received = test_fleet.service().received_headers("r1");
            CHECK(values_of(received, "X-Tenant") == std::vector<std::string>{"east"});
            CHECK(values_of(received, "Authorization").empty());
        }
    }
    WHEN("a caller states no valid key") {
        const http::request plain = test_fleet.booking_request("r2", "");
        http::request repeated = with_key(with_key(plain, north_key), north_key);
        http::request other_scheme = plain;
        other_scheme.headers.push_back({"Authorization", "Bearer " + north_key});
        THEN("it gets 401, and the replica nothing") {
            CHECK(status_of(plain) == 401);
            CHECK(status_of(repeated) == 401);
            CHECK(status_of(other_scheme) == 401);
            CHECK(status_of(with_key(plain, "north-secret-")) == 401);
            CHECK(test_fleet.service().received_headers("r2").empty());
        }
    }
    WHEN("a batch job is submitted") {
        const http::request submission = test_fleet.submit_job_request("j", {"a"}, 1);
        CHECK(status_of(submission) == 401);
        http::request keyed = with_key(submission, north_key);
        json body = json::parse(keyed.body);
        body["requests"][0]["headers"]["authorization"] = "Token " + north_key;
        body["requests"][0]["headers"]["X-Tenant"] = "east";
        keyed.body = body.dump();
        REQUIRE(status_of(keyed) == 202);
        const http::request read = job_call(test_fleet, "GET", "/kingcupcart/lots/j?after=0");
        const auto has_result = [&] {
            const auto response = test_deployment.call(with_key(read, second_north_key));
            return response->head.status == 200 &&
                   json::parse(response->body)["results"].size() == 1;
        };
        THEN("its items reach the engine with the account only") {
            REQUIRE(test_deployment.run_until(has_result));
            const auto& received = test_fleet.engine().received_headers("a");
            CHECK(values_of(received, "X-Tenant") == std::vector<std::string>{"north"});
            CHECK(values_of(received, "Authorization").empty());
            CHECK(values_of(received, "authorization").empty());
        }
        THEN("only keys of its account reach it, others as if it did not exist") {
            const http::request item = job_call(test_fleet, "GET", "/kingcupcart/items/j?id=a");
            const http::request end = job_call(test_fleet, "DELETE", "/kingcupcart/lots/j");
            for (const http::request& call : {read, item, end}) {
                CHECK(status_of(call) == 401);
                CHECK(status_of(with_key(call, east_key)) == 404);
            }
            CHECK(status_of(with_key(submission, east_key)) == 404);
            CHECK(status_of(with_key(item, second_north_key)) == 200);
            CHECK(status_of(with_key(end, second_north_key)) == 200);
        }
    }
    WHEN("a configuration revokes a key") {
        REQUIRE(status_of(with_key(test_fleet.submit_job_request("j", {"a"}, 1), north_key)) ==
                202);
        json fewer = tenants;
        fewer[0]["apiKeys"] = {second_north_key};
        REQUIRE(status_of(configuration_with(test_fleet, 5, fewer)) == 200);
        THEN("it is refused soon, and another key of the account reaches what it submitted") {
            const http::request read = job_call(test_fleet, "GET", "/kingcupcart/lots/j?after=0");
            CHECK(test_deployment.run_until([&] {
                return status_of(with_key(test_fleet.booking_request("r3", ""), north_key)) == 401;
            }));
            CHECK(status_of(with_key(read, north_key)) == 401);
            CHECK(status_of(with_key(read, second_north_key)) == 200);
        }
    }
    WHEN("a configuration gives a key to two accounts") {
        json shared = tenants;
        shared[1]["apiKeys"] = {north_key};
        const auto rejected = test_deployment.call(configuration_with(test_fleet, 6, shared));
        THEN("it is rejected with the accounts' names, and the keys go on as they were") {
            CHECK(rejected->head.status == 400);
            CHECK(rejected->body ==
                  "tenants[1].apiKeys[0]: this key of 'east' is also a key of 'north'\n");
            CHECK(status_of(with_key(test_fleet.booking_request("r4", ""), east_key)) == 200);
        }
    }
    // After each of these: no process has written a key, or a part of one.
    for (child_process* process :
         {&test_fleet.gateway(), &test_fleet.store(), &test_fleet.keeper(0)}) {
        std::string output;
        for (const std::string& line : process->lines()) {
            output += line + "\n";
        }
        http::request metrics;
        metrics.url = "http://" + process->value("admin") + "/metrics";
        output += test_deployment.call(metrics)->body;
        metrics.url = "http://" + process->value("admin") + "/status";
        output += test_deployment.call(metrics)->body;
        CHECK(output.size() > 1000);
        CHECK(output.find("secret") == std::string::npos);
    }
}

// Guards against revoked keys that are still accepted by a gateway without contact to a keeper.
SCENARIO("a gateway that reaches no keeper refuses keys if it fails closed") {
    deployment test_deployment;
    fleet_options options;
    options.gateway_lines = "revoke-time = 1s\nfail-closed = true\n";
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    const auto status_of = [&](const http::request& request) {
        return test_deployment.call(request)->head.status;
    };
    const http::request keyed = with_key(test_fleet.booking_request("r", ""), north_key);
    REQUIRE(status_of(configuration_with(test_fleet, 4,
                                         {{{"name", "north"}, {"apiKeys", {north_key}}}})) == 200);
    REQUIRE(test_deployment.run_until(
        [&] { return status_of(test_fleet.booking_request("probe", "")) == 401; }));
    REQUIRE(status_of(keyed) == 200);
    WHEN("its only keeper is frozen for longer than the bound") {
        test_fleet.keeper(0).signal(SIGSTOP);
        test_deployment.wait(std::chrono::milliseconds(1100));
        THEN("keyed requests are refused as not run, requests without a key as before") {
            CHECK(status_of(keyed) == 503);
            CHECK(status_of(test_fleet.booking_request("probe", "")) == 401);
        }
        test_fleet.keeper(0).signal(SIGCONT);
        THEN("the keys are valid again once the keeper is") {
            CHECK(test_deployment.run_until([&] { return status_of(keyed) == 200; }));
        }
    }
}
