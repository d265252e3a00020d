#include "forwarding/forwarder.h"
#include "forwarding/tests/announced_fleet.h"
#include "forwarding/tests/unanswering_host.h"
#include "http/tests/raw_caller.h"
#include "relaying/relay_client.h"
#include "relaying/relay_server.h"
#include "relaying/relayed_exchange.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::forwarding;
using namespace std::chrono_literals;

namespace {

const backend_name service("app");
const software_version v1("v1");

std::string event(std::size_t number) {
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

routes::route make_route(routes::route_kind kind) {
    routes::route created;
    created.name = route_name("r");
    created.kind = kind;
    created.is_resumable = kind == routes::route_kind::stream;
    created.timeout = 5s;
    created.shares = {{service, 1}};
    created.max_attempts = 2;
    return created;
}

outcome<routes::route_table> parse_routes(std::string_view /*document*/) {
    routes::route_table table;
    table.version = configuration_version(1);
    table.routes = {make_route(routes::route_kind::repeatable)};
    return table;
}

/// A gateway's forwarder without a path to any of its two targets, a keeper that knows a relay, and
/// that relay.
struct cut_off_gateway {
    http::raw_caller runner;
    telemetry::metric_set metrics;
    const unanswering_host first_target;
    const unanswering_host second_target;
    announced_fleet fleet;
    std::unique_ptr<relaying::relay_server> relay;
    std::unique_ptr<relaying::relay_client> relays;
    std::unique_ptr<forwarder> subject;
    std::vector<wire::relay_candidate> candidates;
    /// Backends in the latest report to the keeper.
    std::optional<std::vector<backend_name>> reported;

    /// Calls that the relay has received.
    std::vector<wire::relayed_call_request> received;
    std::vector<std::shared_ptr<relaying::relayed_exchange>> exchanges;
    int cancelled = 0;

    /// What the caller received.
    std::optional<http::response_head> head;
    std::string delivered;
    std::size_t unsent = 0;
    bool has_ended = false;
    std::optional<call_failure> failure;
    request_id request;

    cut_off_gateway() : fleet(this->runner, &parse_routes) {
        this->open_relay();
        this->open_forwarder();
        this->fleet.on_message = [this](const wire::message& message) { this->handle(message); };
        this->fleet.on_target_changed = [this](const membership::directory_change& change) {
            this->subject->target_changed(change);
        };
        this->fleet.on_relays_found = [this](const wire::relay_lookup_response& response) {
            this->relays->handle(response);
        };
        this->fleet.add_target("a", service, v1, this->first_target.address());
        this->fleet.add_target("b", service, v1, this->second_target.address());
    }
    ~cut_off_gateway() {
        this->exchanges.clear();
        this->subject.reset();
        this->relays.reset();
        this->relay.reset();
    }
    cut_off_gateway(const cut_off_gateway&) = delete;
    cut_off_gateway& operator=(const cut_off_gateway&) = delete;

    void open_relay() {
        relaying::relay_server::parameters arguments;
        arguments.address = {"127.0.0.1", 0};
        arguments.time = &this->runner.time;
        arguments.make_hello = [] { return make_hello("relay"); };
        arguments.metrics = &this->metrics;
        arguments.on_call = [this](wire::relayed_call_request call,
                                   std::shared_ptr<relaying::relayed_exchange> exchange) {
            this->received.push_back(std::move(call));
            exchange->on_cancel([this] {
                ++this->cancelled;
                this->runner.loop.quit();
            });
            this->exchanges.push_back(std::move(exchange));
            this->runner.loop.quit();
        };
        arguments.on_idle = [] {};
        auto opened =
            value_or_error([&] { return relaying::relay_server::open(std::move(arguments)); });
        this->relay = std::get<std::unique_ptr<relaying::relay_server>>(std::move(opened));
        this->candidates = {{instance_id("relay"), this->relay->address(), location{}}};
    }

    /// What the keeper does.
    void handle(const wire::message& message) {
        if (const auto* lookup = std::get_if<wire::relay_lookup_request>(&message)) {
            this->fleet.link->send(wire::relay_lookup_response{lookup->lookup, this->candidates});
        } else if (const auto* report = std::get_if<wire::reach_report>(&message)) {
            this->reported = report->cut_off;
        }
    }

    void open_forwarder() {
        relaying::relay_client::parameters relay_arguments;
        relay_arguments.time = &this->runner.time;
        relay_arguments.make_hello = [] { return make_hello("gateway"); };
        relay_arguments.self = instance_id("gateway");
        relay_arguments.ask_keeper = [this](const wire::message& question) {
            return this->fleet.client->ask_nearest(question);
        };
        relay_arguments.metrics = &this->metrics;
        this->relays = std::make_unique<relaying::relay_client>(std::move(relay_arguments));
        forwarder::parameters arguments;
        arguments.time = &this->runner.time;
        arguments.seed = 1;
        arguments.protocol = make_protocol();
        arguments.fleet = this->fleet.client.get();
        arguments.metrics = &this->metrics;
        arguments.max_response_bytes = 1024UL * 1024;
        arguments.on_call_ended = [] {};
        arguments.relays = this->relays.get();
        this->subject = std::make_unique<forwarder>(std::move(arguments));
    }

    /// Starts a call and waits until the relay has it, or it has ended.
    void call(routes::route_kind kind, bool may_relay = true) {
        this->head.reset();
        this->delivered.clear();
        this->has_ended = false;
        this->failure.reset();
        const std::size_t received_before = this->received.size();
        call_parameters parameters;
        parameters.name = "r1";
        parameters.host = "shop";
        parameters.request.method = "POST";
        parameters.request.path = "/path?query";
        parameters.request.headers = {{"X-Caller", "c"}};
        parameters.request.body = "body";
        parameters.max_wait = 3s;
        parameters.may_relay = may_relay;
        parameters.notify.on_response = [this](const http::response_head& received_head,
                                               std::string_view body) {
            this->head = received_head;
            this->delivered += body;
            this->end();
        };
        parameters.notify.on_stream_started = [this](const http::response_head& received_head) {
            this->head = received_head;
        };
        parameters.notify.on_stream_data = [this](std::string_view data) {
            this->delivered += data;
            this->runner.loop.quit();
        };
        parameters.notify.unsent_bytes = [this] { return this->unsent; };
        parameters.notify.on_stream_ended = [this] { this->end(); };
        parameters.notify.on_failure = [this](const call_failure& failed) {
            this->failure = failed;
            this->end();
        };
        this->request = this->subject->start(make_route(kind), std::move(parameters));
        while (this->received.size() == received_before && !this->has_ended) {
            this->runner.pause_for(http::raw_caller::max_time);
        }
    }

    void end() {
        this->has_ended = true;
        this->runner.loop.quit();
    }

    void wait_for_end() {
        while (!this->has_ended) {
            this->runner.pause_for(http::raw_caller::max_time);
        }
    }

    [[nodiscard]] bool has_metric(const std::string& line) const {
        return this->metrics.exposition().find(line) != std::string::npos;
    }
};

const http::response_head whole_head{200, "text/plain", {{"X-Id", "r1"}, {"X-Stamp", "s"}}};
const http::response_head stream_head{200, "text/event-stream", {{"X-Id", "r1"}}};

} // namespace

// Callers of a gateway that had lost its paths to all targets waited until their deadline.
SCENARIO("a gateway without a path to any target has its calls relayed") {
    cut_off_gateway gateway;
    GIVEN("a call that another gateway takes") {
        const time_point begin = gateway.runner.time.now();
        gateway.call(routes::route_kind::repeatable);
        REQUIRE(gateway.received.size() == 1);
        THEN("that gateway gets it as the caller sent it, well before its deadline") {
            const wire::relayed_call_request& sent = gateway.received.front();
            CHECK(sent.name == "r1");
            CHECK(sent.host == "shop");
            CHECK(sent.method == "POST");
            CHECK(sent.path == "/path?query");
            CHECK(sent.headers == std::vector<header_field>{{"X-Caller", "c"}});
            CHECK(sent.body == "body");
            CHECK(sent.backend == service);
            // One of the route's two attempts is left to another relay.
            CHECK(sent.max_attempts == 1);
            CHECK(sent.max_wait < 3s);
            CHECK(sent.max_wait > 1s);
            CHECK(gateway.runner.time.now() - begin < 2s);
        }
        WHEN("it responds") {
            gateway.exchanges.front()->respond(whole_head, "answer");
            gateway.wait_for_end();
            THEN("the caller gets the response unchanged") {
                REQUIRE(gateway.head);
                CHECK(gateway.head->status == 200);
                CHECK(gateway.head->content_type == "text/plain");
                CHECK(gateway.head->headers == whole_head.headers);
                CHECK(gateway.delivered == "answer");
            }
            AND_WHEN("another call follows") {
                const time_point before = gateway.runner.time.now();
                gateway.call(routes::route_kind::at_most_once);
                THEN("it is relayed at once, and the keeper knows the backend that is cut off") {
                    CHECK(gateway.received.size() == 2);
                    CHECK(gateway.runner.time.now() - before < 100ms);
                    CHECK(gateway.reported == std::vector{service});
                    CHECK(gateway.has_metric("backends_cut_off 1"));
                    CHECK(gateway.has_metric("calls_relayed_total{outcome=\"complete\"} 1"));
                }
            }
        }
        WHEN("its response belongs to another request") {
            gateway.exchanges.front()->respond({200, "text/plain", {{"X-Id", "other"}}}, "answer");
            gateway.wait_for_end();
            THEN("the caller does not get it") {
                CHECK(gateway.failure);
                CHECK(gateway.delivered.empty());
            }
        }
        WHEN("the caller disconnects") {
            gateway.subject->cancel(gateway.request);
            gateway.runner.pause_for(http::raw_caller::max_time);
            THEN("the call is cancelled there, too") {
                CHECK(gateway.cancelled == 1);
            }
        }
    }
    GIVEN("a stream that another gateway passes on") {
        gateway.call(routes::route_kind::stream);
        REQUIRE(gateway.received.size() == 1);
        relaying::relayed_exchange& exchange = *gateway.exchanges.front();
        exchange.begin_stream(stream_head);
        exchange.write(event(1));
        gateway.runner.pause_for(http::raw_caller::max_time);
        REQUIRE(gateway.delivered == event(1));
        WHEN("it goes on to its end") {
            exchange.write(event(2));
            exchange.end_stream();
            gateway.wait_for_end();
            THEN("the caller gets all events and the end") {
                CHECK_FALSE(gateway.failure);
                CHECK(gateway.delivered == event(1) + event(2));
            }
        }
        WHEN("the caller reads nothing more") {
            constexpr std::size_t part_count = 4000;
            gateway.unsent = 1024UL * 1024;
            for (std::size_t number = 2; number < part_count; ++number) {
                exchange.write(event(number));
            }
            gateway.runner.pause_for(300ms);
            THEN("the other gateway sees that its bytes are not taken") {
                CHECK(exchange.unsent_bytes() > 0);
                CHECK_FALSE(gateway.has_ended);
            }
        }
        WHEN("the link to the other gateway is lost") {
            gateway.exchanges.clear();
            gateway.relay.reset();
            gateway.wait_for_end();
            THEN("the response breaks off visibly") {
                REQUIRE(gateway.failure);
                CHECK(gateway.failure->outcome == requests::outcome_kind::unknown);
                CHECK(gateway.delivered == event(1));
            }
        }
    }
    GIVEN("no other gateway that takes calls") {
        gateway.candidates.clear();
        const time_point begin = gateway.runner.time.now();
        gateway.call(routes::route_kind::repeatable);
        THEN("the caller is refused as not run, and not at its deadline only") {
            REQUIRE(gateway.failure);
            CHECK(gateway.failure->outcome == requests::outcome_kind::not_run);
            CHECK(gateway.failure->reason == requests::refusal_reason::no_path);
            CHECK(gateway.runner.time.now() - begin < 2s);
        }
    }
    GIVEN("another gateway that takes none now") {
        gateway.call(routes::route_kind::repeatable);
        gateway.exchanges.front()->refuse(false, "queue-full", 200ms);
        gateway.wait_for_end();
        THEN("the caller is refused as not run") {
            REQUIRE(gateway.failure);
            CHECK(gateway.failure->outcome == requests::outcome_kind::not_run);
            CHECK(gateway.failure->reason == requests::refusal_reason::no_path);
        }
    }
    GIVEN("a call that may not be relayed") {
        gateway.call(routes::route_kind::repeatable, false);
        THEN("it is refused as not run, and sent nowhere") {
            REQUIRE(gateway.failure);
            CHECK(gateway.failure->outcome == requests::outcome_kind::not_run);
            CHECK(gateway.received.empty());
        }
    }
}
