#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "http/tests/raw_caller.h"
#include "wire/listener.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <doctest/doctest.h>

#include <charconv>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace kingcupcart::forwarding {

/// A protocol of targets that repeat the identifier of a request in `X-Id`, if they send headers.
inline engines::target_protocol make_protocol() {
    engines::target_protocol protocol;
    protocol.forward = [](const engines::forwarded_request& request,
                          const membership::target_record& target) {
        http::request outgoing = http::make_request(target.address, request.method, request.path);
        outgoing.repeatable = request.is_repeatable;
        return outgoing;
    };
    protocol.classify_response = [](const http::response_head& head, std::string_view name) {
        for (const header_field& field : head.headers) {
            if (field.name == "X-Id" && field.value != name) {
                return engines::response_kind::mismatched;
            }
        }
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

inline wire::hello make_hello(const char* id) {
    wire::hello hello;
    hello.instance = instance_id(id);
    hello.role = wire::instance_role::gateway;
    return hello;
}

/// A keeper that announces routes and targets to a gateway, and the gateway's client of it.
class announced_fleet {
public:
    announced_fleet(http::raw_caller& runner, routes::route_table_parser parse_routes)
        : runner(runner) {
        auto opened = value_or_error([&] {
            return wire::listener::open({"127.0.0.1", 0}, [this](GSocketConnection* connection) {
                this->link = wire::peer_link::accept(
                    connection,
                    {[] {}, [this](const wire::message& message) { this->on_message(message); },
                     [](const std::string&) {}});
            });
        });
        this->keeper = std::get<std::unique_ptr<wire::listener>>(std::move(opened));
        fleet::keeper_client::callbacks notify;
        notify.make_hello = [] { return make_hello("gateway"); };
        notify.routes_changed = [this] { this->runner.loop.quit(); };
        notify.target_changed = [this](const membership::directory_change& change) {
            this->on_target_changed(change);
            this->runner.loop.quit();
        };
        notify.permits_changed = [](const target_id&) {};
        notify.suspect_changed = [](const request_fingerprint&) {};
        notify.stores_changed = [] {};
        notify.initial_members_received = [](const std::vector<quorum::member>&) {};
        notify.keeper_connected = [this](const instance_id&) { this->runner.loop.quit(); };
        notify.relays_found = [this](const wire::relay_lookup_response& response) {
            this->on_relays_found(response);
        };
        this->client = std::make_unique<fleet::keeper_client>(
            this->runner.time, std::vector<endpoint>{this->keeper->address()}, parse_routes,
            notify);
        this->runner.pause_for(http::raw_caller::max_time);
        REQUIRE(this->link);
        this->link->send(wire::routes_update{configuration_version(1), "routes"});
        this->runner.pause_for(http::raw_caller::max_time);
        REQUIRE(this->client->routes());
    }
    ~announced_fleet() {
        this->client.reset();
        this->link.reset();
        this->keeper.reset();
    }
    announced_fleet(const announced_fleet&) = delete;
    announced_fleet& operator=(const announced_fleet&) = delete;

    /// Announces the target, and waits until the gateway knows it.
    void add_target(const char* id, const backend_name& service, const software_version& software,
                    const endpoint& address) {
        membership::target_record record;
        record.id = target_id(id);
        record.kind = membership::target_kind::service;
        record.backend = service;
        record.address = address;
        record.slots = 4;
        record.incarnation = incarnation_id(1);
        record.sequence = 1;
        record.software = software;
        this->link->send(wire::target_update{record});
        this->runner.pause_for(http::raw_caller::max_time);
        REQUIRE(this->client->targets().find(record.id) != nullptr);
    }

    http::raw_caller& runner;
    std::unique_ptr<wire::listener> keeper;
    /// The keeper's side of the link.
    std::unique_ptr<wire::peer_link> link;
    std::unique_ptr<fleet::keeper_client> client;
    /// What the keeper receives.
    std::function<void(const wire::message&)> on_message = [](const wire::message&) {};
    std::function<void(const membership::directory_change&)> on_target_changed =
        [](const membership::directory_change&) {};
    std::function<void(const wire::relay_lookup_response&)> on_relays_found =
        [](const wire::relay_lookup_response&) {};
};

} // namespace kingcupcart::forwarding
