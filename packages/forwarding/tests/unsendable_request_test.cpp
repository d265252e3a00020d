#include "forwarding/forwarder.h"
#include "forwarding/tests/announced_fleet.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::forwarding;
using namespace std::chrono_literals;

namespace {

const backend_name service("app");
const software_version v1("v1");
const http::scripted_reply answer{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"};

routes::route make_route() {
    routes::route created;
    created.name = route_name("r");
    created.kind = routes::route_kind::repeatable;
    created.timeout = 5s;
    created.shares = {{service, 1}};
    return created;
}

outcome<routes::route_table> parse_routes(std::string_view /*document*/) {
    routes::route_table table;
    table.version = configuration_version(1);
    table.routes = {make_route()};
    return table;
}

/// An instance that asks no other one, and two targets that answer.
struct sound_fleet {
    http::raw_caller runner;
    telemetry::metric_set metrics;
    const http::scripted_server first_target{std::vector<http::scripted_reply>(4, answer)};
    const http::scripted_server second_target{std::vector<http::scripted_reply>(4, answer)};
    announced_fleet fleet;
    std::unique_ptr<forwarder> subject;
    bool is_answered = false;
    std::optional<call_failure> failure;

    sound_fleet() : fleet(this->runner, &parse_routes) {
        forwarder::parameters arguments;
        arguments.time = &this->runner.time;
        arguments.seed = 1;
        arguments.protocol = make_protocol();
        arguments.fleet = this->fleet.client.get();
        arguments.metrics = &this->metrics;
        arguments.max_response_bytes = 1024UL * 1024;
        arguments.on_call_ended = [] {};
        this->subject = std::make_unique<forwarder>(std::move(arguments));
        this->fleet.on_target_changed = [this](const membership::directory_change& change) {
            this->subject->target_changed(change);
        };
        this->fleet.add_target("a", service, v1, this->first_target.address());
        this->fleet.add_target("b", service, v1, this->second_target.address());
    }

    /// Starts a call and waits until it has ended.
    void call(const std::string& path) {
        this->is_answered = false;
        this->failure.reset();
        call_parameters parameters;
        parameters.name = "r1";
        parameters.request.method = "GET";
        parameters.request.path = path;
        parameters.max_wait = 3s;
        parameters.notify.on_response = [this](const http::response_head&, std::string_view) {
            this->is_answered = true;
            this->runner.loop.quit();
        };
        parameters.notify.on_failure = [this](const call_failure& failed) {
            this->failure = failed;
            this->runner.loop.quit();
        };
        this->subject->start(make_route(), std::move(parameters));
        while (!this->is_answered && !this->failure) {
            this->runner.pause_for(http::raw_caller::max_time);
        }
    }
};

} // namespace

// Each target that a request with such a path was tried at counted as lost. After two, the instance
// believed that it reached none, and refused the calls that followed.
SCENARIO("a request that can't be sent does not cut the instance off from its targets") {
    sound_fleet fleet;
    GIVEN("a request whose path has a space") {
        fleet.call("/a b");
        THEN("it is refused as not run, and sent to no target") {
            REQUIRE(fleet.failure);
            CHECK(fleet.failure->outcome == requests::outcome_kind::not_run);
            CHECK(fleet.first_target.requests().empty());
            CHECK(fleet.second_target.requests().empty());
        }
        THEN("no path counts as lost") {
            CHECK(fleet.metrics.exposition().find("paths_lost_total") == std::string::npos);
        }
        WHEN("another request follows") {
            fleet.call("/a");
            THEN("it is answered") {
                CHECK(fleet.is_answered);
            }
        }
    }
}
