#include "forwarding/forwarder.h"
#include "forwarding/tests/announced_fleet.h"
#include "gateway/internal/relayed_calls.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"
#include "relaying/relay_client.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;
using forwarding::make_hello;
using relaying::relay_result;

namespace {

const backend_name service("app");
const backend_name other_service("other");
const software_version v1("v1");
const std::string first_event = "id: 1\ndata: x\n\n";

routes::route make_route(const char* name, const char* prefix, routes::route_kind kind) {
    routes::route created;
    created.name = route_name(name);
    created.host = "shop";
    created.path_prefix = prefix;
    created.kind = kind;
    created.is_resumable = kind == routes::route_kind::stream;
    created.timeout = 3s;
    created.shares = {{service, 1}};
    created.max_attempts = 2;
    return created;
}

outcome<routes::route_table> parse_routes(std::string_view /*document*/) {
    routes::route_table table;
    table.version = configuration_version(1);
    table.routes = {make_route("once", "/once/", routes::route_kind::at_most_once),
                    make_route("stream", "/stream/", routes::route_kind::stream),
                    make_route("batch", "/batch/", routes::route_kind::batch)};
    return table;
}

/// A gateway that forwards calls for another one, and that other one's side of the link.
struct relay_fixture {
    http::raw_caller runner;
    telemetry::metric_set metrics;
    forwarding::announced_fleet fleet;
    std::unique_ptr<forwarding::forwarder> forwarder;
    std::unique_ptr<gateway::relayed_calls> subject;
    std::unique_ptr<relaying::relay_client> sender;
    std::unique_ptr<relaying::relay_client::call> call;

    /// What the other gateway received.
    std::optional<http::response_head> head;
    std::string body;
    std::optional<relay_result> result;
    std::string reason;
    bool is_idle = false;

    relay_fixture() : fleet(this->runner, &parse_routes) {
        forwarding::forwarder::parameters arguments;
        arguments.time = &this->runner.time;
        arguments.seed = 1;
        arguments.protocol = forwarding::make_protocol();
        arguments.fleet = this->fleet.client.get();
        arguments.metrics = &this->metrics;
        arguments.max_response_bytes = 1024UL * 1024;
        arguments.on_call_ended = [] {};
        this->forwarder = std::make_unique<forwarding::forwarder>(std::move(arguments));
        this->fleet.on_target_changed = [this](const membership::directory_change& change) {
            this->forwarder->target_changed(change);
        };
        this->open_subject();
        this->open_sender();
    }
    ~relay_fixture() {
        this->call.reset();
        this->sender.reset();
        this->subject.reset();
        this->forwarder.reset();
    }
    relay_fixture(const relay_fixture&) = delete;
    relay_fixture& operator=(const relay_fixture&) = delete;

    void open_subject() {
        gateway::relayed_calls::parameters arguments;
        arguments.address = {"127.0.0.1", 0};
        arguments.max_calls = 10;
        arguments.time = &this->runner.time;
        arguments.make_hello = [] { return make_hello("relay"); };
        arguments.metrics = &this->metrics;
        arguments.fleet = this->fleet.client.get();
        arguments.forwarder = this->forwarder.get();
        arguments.on_idle = [this] { this->is_idle = true; };
        auto opened =
            value_or_error([&] { return gateway::relayed_calls::open(std::move(arguments)); });
        this->subject = std::get<std::unique_ptr<gateway::relayed_calls>>(std::move(opened));
    }

    void open_sender() {
        relaying::relay_client::parameters arguments;
        arguments.time = &this->runner.time;
        arguments.make_hello = [] { return make_hello("sender"); };
        arguments.self = instance_id("sender");
        // The keeper answers at once.
        arguments.ask_keeper = [this](const wire::message& question) {
            const auto& lookup = std::get<wire::relay_lookup_request>(question);
            this->lookups.push_back(lookup.lookup);
            this->answer_timer->arm_now();
            return true;
        };
        arguments.metrics = &this->metrics;
        this->sender = std::make_unique<relaying::relay_client>(std::move(arguments));
        this->answer_timer = std::make_unique<task::wakeup>([this] {
            for (const std::uint64_t lookup : std::exchange(this->lookups, {})) {
                this->sender->handle(wire::relay_lookup_response{
                    lookup, {{instance_id("relay"), this->subject->address(), location{}}}});
            }
        });
    }

    static wire::relayed_call_request make_request(const char* path) {
        wire::relayed_call_request request;
        request.name = "r1";
        request.host = "shop";
        request.method = "POST";
        request.path = path;
        request.max_wait = 2s;
        request.backend = service;
        return request;
    }

    void start(const wire::relayed_call_request& request) {
        this->head.reset();
        this->body.clear();
        this->result.reset();
        this->call = this->sender->start(
            request, {},
            {[] {},
             [this](const http::response_head& received, bool /*is_stream*/) {
                 this->head = received;
             },
             [this](std::string_view data) {
                 this->body += data;
                 this->runner.loop.quit();
             },
             [this](relay_result ended, const std::string& why, duration /*retry_after*/) {
                 this->result = ended;
                 this->reason = why;
                 this->runner.loop.quit();
             }});
    }
    void wait_for_end() {
        while (!this->result) {
            this->runner.pause_for(http::raw_caller::max_time);
        }
    }

    std::vector<std::uint64_t> lookups;
    std::unique_ptr<task::wakeup> answer_timer;
};

} // namespace

// Callers of a gateway that had lost its paths to all targets were served worse than others.
SCENARIO("a gateway forwards calls of another gateway by its own routes") {
    relay_fixture relay;
    GIVEN("a target that responds") {
        const http::scripted_server target({{"HTTP/1.1 201 Created\r\nX-Id: r1\r\nX-Stamp: "
                                             "s\r\nContent-Length: 6\r\n\r\nanswer"}});
        relay.fleet.add_target("a", service, v1, target.address());
        WHEN("a call is relayed") {
            relay.start(relay_fixture::make_request("/once/1?x=2"));
            relay.wait_for_end();
            THEN("its target gets it unchanged, and the other gateway the target's response") {
                REQUIRE(target.requests().size() == 1);
                CHECK(target.requests().front().head.find("POST /once/1?x=2 ") == 0);
                CHECK(relay.result == relay_result::complete);
                REQUIRE(relay.head);
                CHECK(relay.head->status == 201);
                CHECK(relay.body == "answer");
                relay.runner.pause_for(50ms);
                CHECK(relay.subject->open_count() == 0);
                CHECK(relay.is_idle);
            }
        }
        const auto check_declined = [&](const wire::relayed_call_request& request) {
            relay.start(request);
            relay.wait_for_end();
            CHECK(relay.result == relay_result::declined);
            CHECK(target.requests().empty());
        };
        WHEN("no route is for the call") {
            check_declined(relay_fixture::make_request("/none/1"));
        }
        WHEN("its route is one of batch jobs") {
            check_declined(relay_fixture::make_request("/batch/1"));
        }
        WHEN("it continues a stream of a version that no target has") {
            wire::relayed_call_request request = relay_fixture::make_request("/stream/1");
            request.resume_after = 1;
            request.software = software_version("v2");
            check_declined(request);
        }
        WHEN("it continues a stream of a service that is not on the route") {
            wire::relayed_call_request request = relay_fixture::make_request("/stream/1");
            request.resume_after = 1;
            request.backend = other_service;
            request.software = v1;
            check_declined(request);
        }
        WHEN("it continues a stream and names no version") {
            wire::relayed_call_request request = relay_fixture::make_request("/stream/1");
            request.resumes = streams::stream_id("r0");
            check_declined(request);
        }
        WHEN("this gateway stops to take calls, after one over a link that is still open") {
            relay.start(relay_fixture::make_request("/once/1"));
            relay.wait_for_end();
            REQUIRE(relay.result == relay_result::complete);
            relay.subject->begin_stop();
            relay.runner.pause_for(50ms);
            THEN("nothing is open any more, and a further call is not sent") {
                CHECK(relay.subject->open_count() == 0);
                CHECK(relay.is_idle);
                relay.start(relay_fixture::make_request("/once/2"));
                relay.wait_for_end();
                CHECK(relay.result == relay_result::no_relay);
                CHECK(target.requests().size() == 1);
            }
        }
    }
    GIVEN("no target of the service") {
        relay.start(relay_fixture::make_request("/once/1"));
        relay.wait_for_end();
        THEN("the call is declined, with the reason that an own caller gets") {
            CHECK(relay.result == relay_result::declined);
            CHECK(relay.reason == "no-target");
        }
    }
    GIVEN("a target whose connection breaks under the request") {
        const http::scripted_server target({{"", http::scripted_reply::ending::close}});
        relay.fleet.add_target("a", service, v1, target.address());
        relay.start(relay_fixture::make_request("/once/1"));
        relay.wait_for_end();
        THEN("the other gateway learns that the call may have run") {
            CHECK(relay.result == relay_result::broken);
        }
    }
    GIVEN("two targets whose connections break under a request that may be repeated") {
        const std::vector<http::scripted_reply> replies(4,
                                                        {"", http::scripted_reply::ending::close});
        const http::scripted_server first(replies);
        const http::scripted_server second(replies);
        relay.fleet.add_target("a", service, v1, first.address());
        relay.fleet.add_target("b", service, v1, second.address());
        wire::relayed_call_request request = relay_fixture::make_request("/stream/1");
        const auto sent_to = [&](std::uint32_t max_attempts) {
            request.max_attempts = max_attempts;
            relay.start(request);
            relay.wait_for_end();
            CHECK(relay.result == relay_result::broken);
            return first.requests().size() + second.requests().size();
        };
        THEN("it is sent to as many of them as the other gateway and the route allow") {
            CHECK(sent_to(1) == 1);
        }
        THEN("the route's limit holds, too") {
            CHECK(sent_to(9) == 2);
        }
    }
    GIVEN("a stream in progress") {
        const http::scripted_server target(
            {{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                  std::to_string(2 * first_event.size()) + "\r\n\r\n" + first_event,
              http::scripted_reply::ending::keep_open, "id: 2\ndata: x\n\n"}});
        relay.fleet.add_target("a", service, v1, target.address());
        relay.start(relay_fixture::make_request("/stream/1"));
        relay.runner.pause_for(http::raw_caller::max_time);
        REQUIRE(relay.body.substr(0, first_event.size()) == first_event);
        THEN("it is recorded where it began") {
            CHECK(relay.metrics.exposition().find("relayed_calls_received_total") ==
                  std::string::npos);
            bool is_known = false;
            relay.fleet.client->streams().look_up(
                streams::stream_id("r1"), 1s, [&](const streams::lookup_result& found) {
                    is_known = found.outcome == streams::lookup_outcome::found &&
                               found.record->backend == service && found.record->software == v1;
                });
            CHECK(is_known);
        }
        WHEN("this gateway begins to stop") {
            relay.subject->begin_stop();
            relay.wait_for_end();
            THEN("the stream goes on to its end") {
                CHECK(relay.result == relay_result::complete);
                CHECK(relay.body == first_event + "id: 2\ndata: x\n\n");
            }
        }
    }
    GIVEN("a target that does not respond") {
        const http::scripted_server target({{""}});
        relay.fleet.add_target("a", service, v1, target.address());
        relay.start(relay_fixture::make_request("/once/1"));
        while (target.requests().empty()) {
            relay.runner.pause_for(10ms);
        }
        WHEN("the other gateway's caller leaves") {
            relay.call.reset();
            relay.runner.pause_for(100ms);
            THEN("the request is aborted here, too") {
                CHECK(relay.forwarder->open_count() == 0);
                CHECK(relay.subject->open_count() == 0);
                CHECK(relay.metrics.exposition().find(
                          "relayed_calls_received_total{outcome=\"cancelled\"} 1") !=
                      std::string::npos);
            }
        }
        WHEN("the link to the other gateway is lost") {
            relay.call.reset();
            relay.sender.reset();
            relay.runner.pause_for(100ms);
            THEN("the request is aborted here, too") {
                CHECK(relay.forwarder->open_count() == 0);
            }
        }
    }
}
