#include "process/deployment.h"
#include "process/fleet.h"
#include "stand_ins/platform_api.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using namespace std::chrono_literals;
using stand_ins::platform_api;

namespace {

const std::string key = "north-key";

/// The configuration with one client account.
http::request configuration_with_account(const fleet& test_fleet) {
    constexpr int version = 4;
    http::request request = test_fleet.put_configuration_request(version);
    auto document = nlohmann::json::parse(request.body);
    document["tenants"] = {{{"name", "north"}, {"apiKeys", {key}}}};
    request.body = document.dump();
    return request;
}

std::unique_ptr<platform_api> open_api() {
    auto opened = value_or_error([] { return platform_api::open(endpoint{"127.0.0.1", 0}); });
    return std::move(std::get<std::unique_ptr<platform_api>>(opened));
}

/// The keeper that sent the last call.
child_process& holder_of(fleet& test_fleet, const platform_api& api) {
    const std::string& id = api.last_holder();
    return test_fleet.keeper(id == "keeper" ? 0 : static_cast<std::size_t>(id.back() - '1'));
}

/// Messages with counts that the keeper has received from gateways.
int updates_received(deployment& test_deployment, const child_process& keeper) {
    http::request metrics;
    metrics.url = "http://" + keeper.value("admin") + "/metrics";
    const std::string text = test_deployment.call(metrics)->body;
    const std::string name = "\nkingcupcart_usage_updates_received_total ";
    const auto found = text.find(name);
    return found == std::string::npos ? 0 : std::stoi(text.substr(found + name.size()));
}

bool has_gaps(const platform_api& api) {
    const auto& windows = api.windows();
    return windows.rbegin()->first - windows.begin()->first + 1 != windows.size();
}

} // namespace

// Guards against windows that are missed, or reported twice with different counts, when the
// platform's API or the keeper that reports fails.
SCENARIO("usage is reported by one keeper at a time") {
    deployment test_deployment;
    const auto api = open_api();
    fleet_options options;
    options.group_size = 3;
    options.further_settings = "[duties]\nplatform = " + api->address().to_string() +
                               "\ncarry-out = usage\nusage-window = 500ms\nusage-late = 8s\n";
    fleet test_fleet(test_deployment, options);
    REQUIRE(test_fleet.wait_until_ready());
    REQUIRE(test_deployment.call(configuration_with_account(test_fleet))->head.status == 200);
    const auto windows_until = [&](std::size_t more) {
        const std::size_t count = api->windows().size() + more;
        return test_deployment.run_until([&] { return api->windows().size() >= count; });
    };
    REQUIRE(windows_until(3));

    // A message that the keeper can't read closes the link, and no count ever arrives.
    GIVEN("a gateway that sends its counts each second") {
        child_process& keeper = holder_of(test_fleet, *api);
        CHECK(test_deployment.run_until(
            [&] { return updates_received(test_deployment, keeper) >= 3; }));
    }
    GIVEN("a request of an account") {
        http::request request = test_fleet.booking_request("r1", "");
        request.headers.push_back({"Authorization", "Token " + key});
        REQUIRE(test_deployment.run_until(
            [&] { return test_deployment.call(request)->head.status == 200; }));
        THEN("one window reports it, under the account's name") {
            const auto reports_request = [](const auto& window) {
                const auto report = nlohmann::json::parse(window.second);
                return report["counts"] == nlohmann::json{{"north", 1}};
            };
            CHECK(test_deployment.run_until([&] {
                return std::any_of(api->windows().begin(), api->windows().end(), reports_request);
            }));
        }
    }
    GIVEN("an API that is busy, resets connections and is silent in turn") {
        for (const auto mode : {platform_api::mode::busy, platform_api::mode::resetting,
                                platform_api::mode::silent}) {
            api->set_mode(mode);
            const std::size_t before = api->call_count();
            REQUIRE(test_deployment.run_until([&] { return api->call_count() >= before + 2; }));
        }
        api->set_mode(platform_api::mode::accepting);
        THEN("every window is reported afterwards") {
            REQUIRE(windows_until(12));
            CHECK_FALSE(has_gaps(*api));
            CHECK(api->violations().empty());
        }
    }
    GIVEN("a keeper that is killed while it reports") {
        const std::string first = api->last_holder();
        holder_of(test_fleet, *api).signal(SIGKILL);
        THEN("another one reports all windows, with a higher fencing token") {
            REQUIRE(test_deployment.run_until([&] { return api->last_holder() != first; }));
            REQUIRE(windows_until(8));
            CHECK_FALSE(has_gaps(*api));
            CHECK(api->violations().empty());
        }
    }
    GIVEN("a keeper that is frozen until another one reports") {
        const std::string first = api->last_holder();
        child_process& frozen = holder_of(test_fleet, *api);
        frozen.signal(SIGSTOP);
        REQUIRE(test_deployment.run_until([&] { return api->last_holder() != first; }));
        REQUIRE(windows_until(4));
        const std::string second = api->last_holder();
        frozen.signal(SIGCONT);
        THEN("it sends nothing more") {
            REQUIRE(windows_until(6));
            CHECK(api->last_holder() == second);
            CHECK(api->holders().size() == 2);
            CHECK_FALSE(has_gaps(*api));
            CHECK(api->violations().empty());
        }
    }
}
