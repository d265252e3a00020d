#include "fleet/keeper_client.h"
#include "forwarding/forwarder.h"
#include "http/tests/flooding_server.h"
#include "http/tests/raw_caller.h"
#include "http/tests/scripted_server.h"
#include "wire/listener.h"
#include "wire/peer_link.h"

#include <doctest/doctest.h>

#include <charconv>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::forwarding;
using namespace std::chrono_literals;

namespace {

const backend_name first_service("one");
const backend_name second_service("two");
const software_version v1("v1");
const software_version v2("v2");
const std::string stream_head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

std::string event(std::size_t number) {
    return "id: " + std::to_string(number) + "\ndata: x\n\n";
}

/// A stream of two events that begins after `resume_after` of them.
std::string rest_of_stream(std::size_t resume_after) {
    std::string events;
    for (std::size_t number = resume_after + 1; number <= 2; ++number) {
        events += event(number);
    }
    return stream_head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
}

/// The first event of a longer stream; the connection stays open.
http::scripted_reply begun_stream() {
    return {stream_head + "Content-Length: 100\r\n\r\n" + event(1)};
}

routes::route stream_route() {
    routes::route created;
    created.name = route_name("r");
    created.kind = routes::route_kind::stream;
    created.is_resumable = true;
    created.timeout = 5s;
    created.shares = {{first_service, 1}, {second_service, 1}};
    created.max_attempts = 4;
    return created;
}

outcome<routes::route_table> parse_routes(std::string_view /*document*/) {
    routes::route_table table;
    table.version = configuration_version(1);
    table.routes = {stream_route()};
    return table;
}

engines::target_protocol make_protocol() {
    engines::target_protocol protocol;
    protocol.forward = [](const engines::forwarded_request& request,
                          const membership::target_record& target) {
        return http::make_request(target.address, request.method, request.path);
    };
    protocol.classify_response = [](const http::response_head& /*head*/,
                                    std::string_view /*name*/) {
        return engines::response_kind::matching;
    };
    protocol.parse_event = [](const completions::server_sent_event& received) {
        engines::stream_event parsed;
        std::from_chars(received.id.data(), received.id.data() + received.id.size(), parsed.number);
        parsed.data = received.data;
        return std::optional(parsed);
    };
    protocol.is_leaving = [](const http::response_head& /*head*/) { return false; };
    protocol.limit_of = [](const http::response_head& /*head*/, std::string_view /*name*/) {
        return permits::limit_statement{};
    };
    return protocol;
}

/// A forwarder and a keeper that announces targets to it, and what one caller receives.
struct forwarder_fixture {
    http::raw_caller runner;
    std::unique_ptr<wire::listener> keeper;
    std::unique_ptr<wire::peer_link> link;
    std::unique_ptr<fleet::keeper_client> fleet;
    telemetry::metric_set metrics;
    std::unique_ptr<forwarder> subject;
    std::size_t known_changes = 0;
    /// Called after the forwarder learned of a target's change.
    std::function<void()> on_target_changed = [] {};

    /// Where the stream was bound, in the order of the reports.
    std::vector<std::optional<stream_origin>> origins;
    std::string delivered;
    bool had_data_before_origin = false;
    std::size_t events_after_change = 0;
    bool has_ended = false;
    std::optional<call_failure> failure;

    forwarder_fixture() {
        auto opened = value_or_error([&] {
            return wire::listener::open({"127.0.0.1", 0}, [this](GSocketConnection* connection) {
                this->link = wire::peer_link::accept(
                    connection, {[] {}, [](const wire::message&) {}, [](const std::string&) {}});
            });
        });
        this->keeper = std::get<std::unique_ptr<wire::listener>>(std::move(opened));
        fleet::keeper_client::callbacks notify;
        notify.make_hello = [] { return wire::hello(); };
        notify.routes_changed = [this] { this->runner.loop.quit(); };
        notify.target_changed = [this](const membership::directory_change& change) {
            ++this->known_changes;
            this->subject->target_changed(change);
            this->on_target_changed();
            this->runner.loop.quit();
        };
        notify.permits_changed = [](const target_id&) {};
        notify.suspect_changed = [](const request_fingerprint&) {};
        notify.stores_changed = [] {};
        notify.initial_members_received = [](const std::vector<quorum::member>&) {};
        notify.keeper_connected = [this](const instance_id&) { this->runner.loop.quit(); };
        this->fleet = std::make_unique<fleet::keeper_client>(
            this->runner.time, std::vector<endpoint>{this->keeper->address()}, &parse_routes,
            notify);
        this->runner.pause_for(http::raw_caller::max_time);
        REQUIRE(this->link);
        this->link->send(wire::routes_update{configuration_version(1), "routes"});
        this->runner.pause_for(http::raw_caller::max_time);
        REQUIRE(this->fleet->routes());

        forwarder::parameters arguments;
        arguments.time = &this->runner.time;
        arguments.seed = 1;
        arguments.protocol = make_protocol();
        arguments.fleet = this->fleet.get();
        arguments.metrics = &this->metrics;
        arguments.max_response_bytes = 1024UL * 1024;
        arguments.on_call_ended = [] {};
        this->subject = std::make_unique<forwarder>(std::move(arguments));
    }
    ~forwarder_fixture() {
        this->subject.reset();
        this->fleet.reset();
        this->link.reset();
        this->keeper.reset();
    }
    forwarder_fixture(const forwarder_fixture&) = delete;
    forwarder_fixture& operator=(const forwarder_fixture&) = delete;

    void post(const std::string& id, const backend_name& service, const software_version& software,
              const endpoint& address, std::uint64_t incarnation = 1) {
        membership::target_record record;
        record.id = target_id(id);
        record.kind = membership::target_kind::service;
        record.backend = service;
        record.address = address;
        record.slots = 4;
        record.incarnation = incarnation_id(incarnation);
        record.sequence = 1;
        record.software = software;
        this->link->send(wire::target_update{record});
    }
    /// Announces the target, and waits until the forwarder knows it.
    void add(const std::string& id, const backend_name& service, const software_version& software,
             const http::scripted_server& server) {
        const std::size_t before = this->known_changes;
        this->post(id, service, software, server.address());
        this->runner.pause_for(http::raw_caller::max_time);
        REQUIRE(this->known_changes == before + 1);
    }

    /// Forwards a request and waits for its end; `on_first_data` is called before that.
    void call(
        const std::optional<stream_origin>& origin,
        const std::function<void()>& on_first_data = [] {}) {
        this->origins.clear();
        this->delivered.clear();
        this->has_ended = false;
        this->failure.reset();
        const std::size_t changes_at_start = this->known_changes;
        call_parameters parameters;
        parameters.name = "r";
        parameters.request.method = "POST";
        parameters.request.path = "/";
        parameters.request.resume_after = origin ? 1 : 0;
        parameters.max_wait = 5s;
        parameters.origin = origin;
        parameters.notify.on_response = [this](const http::response_head&, std::string_view) {
            this->runner.loop.quit();
        };
        parameters.notify.on_stream_started = [](const http::response_head&) {};
        parameters.notify.on_stream_data = [&, changes_at_start](std::string_view data) {
            const bool is_first = this->delivered.empty();
            this->had_data_before_origin = this->had_data_before_origin || this->origins.empty();
            this->events_after_change += this->known_changes > changes_at_start ? 1 : 0;
            this->delivered += data;
            if (is_first) {
                on_first_data();
            }
        };
        parameters.notify.on_stream_ended = [this] {
            this->has_ended = true;
            this->runner.loop.quit();
        };
        parameters.notify.on_stream_bound = [this](const std::optional<stream_origin>& bound) {
            this->origins.push_back(bound);
        };
        parameters.notify.on_failure = [this](const call_failure& failed) {
            this->failure = failed;
            this->runner.loop.quit();
        };
        routes::route route = stream_route();
        if (!origin) {
            route.shares = {{first_service, 1}};
        }
        this->subject->start(route, std::move(parameters));
        while (!this->has_ended && !this->failure) {
            this->runner.pause_for(http::raw_caller::max_time);
        }
    }
};

using origins = std::vector<std::optional<stream_origin>>;

} // namespace

// A stream that its caller took up went to any service of its route, and to any version of it.
SCENARIO("a call that continues a stream goes only to where the stream began") {
    forwarder_fixture fixture;
    const std::vector<http::scripted_reply> replies(10, {rest_of_stream(1)});
    const http::scripted_server first(replies);
    const http::scripted_server old_second(replies);
    const http::scripted_server new_second(replies);
    fixture.add("a", first_service, v1, first);
    fixture.add("b", second_service, v1, old_second);
    fixture.add("c", second_service, v2, new_second);
    GIVEN("calls that continue a stream of one service and version") {
        for (int i = 0; i < 10; ++i) {
            fixture.call(stream_origin{second_service, v2});
            CHECK(fixture.has_ended);
            CHECK(fixture.delivered == event(2));
            CHECK(fixture.origins == origins{stream_origin{second_service, v2}});
        }
        THEN("all went there, and the origin was reported before any data") {
            CHECK(first.requests().size() == 0);
            CHECK(old_second.requests().size() == 0);
            CHECK(new_second.requests().size() == 10);
            CHECK_FALSE(fixture.had_data_before_origin);
        }
    }
    GIVEN("a call that continues a stream of a version which that service does not have") {
        fixture.call(stream_origin{first_service, v2});
        THEN("it is refused as not run, and nothing was sent") {
            REQUIRE(fixture.failure);
            CHECK(fixture.failure->outcome == requests::outcome_kind::not_run);
            CHECK(fixture.failure->reason == requests::refusal_reason::no_target);
            CHECK(fixture.origins.empty());
            CHECK(first.requests().size() + old_second.requests().size() +
                      new_second.requests().size() ==
                  0);
        }
    }
}

// A stream that broke off was joined with the events of another software version.
SCENARIO("a forwarded stream keeps to the version of its first event") {
    forwarder_fixture fixture;
    GIVEN("a target that breaks off after the first event") {
        auto broken = std::make_unique<http::scripted_server>(
            std::vector<http::scripted_reply>{begun_stream()});
        const http::scripted_server other_version({{rest_of_stream(1)}});
        const http::scripted_server same_version({{rest_of_stream(1)}});
        fixture.add("a", first_service, v1, *broken);
        const stream_origin origin{first_service, v1};
        /// The target breaks off once the forwarder knows this many.
        const auto break_off_at = [&](std::size_t targets) {
            fixture.on_target_changed = [&, targets] {
                if (fixture.known_changes == targets) {
                    broken.reset();
                }
            };
        };
        WHEN("another version and a further target of its own could go on") {
            break_off_at(3);
            fixture.call(std::nullopt, [&] {
                fixture.post("b", first_service, v2, other_version.address());
                fixture.post("c", first_service, v1, same_version.address());
            });
            THEN("that of its own does") {
                CHECK(fixture.has_ended);
                CHECK(fixture.delivered == event(1) + event(2));
                CHECK(fixture.origins == origins{origin});
                CHECK(other_version.requests().size() == 0);
                CHECK(same_version.requests().size() == 1);
            }
        }
        WHEN("only another version could go on") {
            break_off_at(2);
            fixture.call(std::nullopt,
                         [&] { fixture.post("b", first_service, v2, other_version.address()); });
            THEN("the answer breaks off without its end") {
                REQUIRE(fixture.failure);
                CHECK(fixture.failure->outcome == requests::outcome_kind::unknown);
                CHECK_FALSE(fixture.has_ended);
                CHECK(fixture.delivered == event(1));
                CHECK(fixture.origins == origins{origin});
                CHECK(other_version.requests().size() == 0);
            }
        }
    }
    GIVEN("a target that starts again as another version while it sends") {
        constexpr std::size_t events_per_part = 10;
        const http::flooding_server endless(stream_head + "\r\n", [](std::size_t part) {
            std::string events;
            for (std::size_t i = 1; i <= events_per_part; ++i) {
                events += event(part * events_per_part + i + 1);
            }
            return events;
        });
        const http::scripted_server same_version({{rest_of_stream(1)}});
        fixture.add("b", second_service, v1, same_version);
        fixture.post("a", first_service, v1, endless.address());
        fixture.runner.pause_for(http::raw_caller::max_time);
        fixture.call(stream_origin{first_service, v1},
                     [&] { fixture.post("a", first_service, v2, endless.address(), 2); });
        THEN("nothing that arrives after its new record is passed on, and the answer breaks off") {
            REQUIRE(fixture.failure);
            CHECK(fixture.failure->outcome == requests::outcome_kind::unknown);
            CHECK(fixture.failure->reason == requests::refusal_reason::unknown_software);
            CHECK(fixture.events_after_change == 0);
            CHECK_FALSE(fixture.has_ended);
            CHECK(fixture.origins == origins{stream_origin{first_service, v1}, std::nullopt});
        }
    }
}
