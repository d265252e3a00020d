#include "gateway/internal/gateway.h"

#include <utility>

/// How a gateway opens its servers and links, and connects its parts.
namespace kingcupcart::gateway {

namespace {

/// Limit of the body of a load balancer's readiness request, in bytes.
constexpr std::int64_t ready_body_limit = 4096;

} // namespace

outcome<void> gateway::open_servers() {
    const settings::gateway_settings& gateway_settings = *this->params.settings.gateway;
    const auto on_request = [this](std::unique_ptr<http::exchange> exchange) {
        this->handle_request(std::move(exchange));
    };
    BOOST_LEAF_ASSIGN(this->callers_server,
                      http::server::open(gateway_settings.callers, gateway_settings.body_limit,
                                         on_request, this->caller_memory));
    this->callers_server->check_heads([this](http::exchange& head) { this->check_head(head); });
    BOOST_LEAF_ASSIGN(this->ready_server,
                      http::server::open(gateway_settings.ready, ready_body_limit, on_request));
    return this->open_relayed_calls();
}

outcome<void> gateway::open_relayed_calls() {
    const settings::gateway_settings& gateway_settings = *this->params.settings.gateway;
    if (!gateway_settings.address) {
        return {};
    }
    relayed_calls::parameters arguments;
    arguments.address = *gateway_settings.address;
    arguments.max_calls = gateway_settings.relayed_calls;
    arguments.time = this->params.time;
    arguments.make_hello = [this] { return this->make_hello(); };
    arguments.metrics = &this->metrics;
    arguments.fleet = this->fleet.get();
    arguments.forwarder = this->forwarder.get();
    arguments.name_account = this->params.targets.name_account;
    arguments.on_idle = [this] { this->check_drained(); };
    arguments.budget = this->caller_memory;
    BOOST_LEAF_ASSIGN(this->calls_of_others, relayed_calls::open(std::move(arguments)));
    return {};
}

void gateway::open_fleet() {
    store_client::parameters store_client_arguments;
    store_client_arguments.time = this->params.time;
    store_client_arguments.protocol = this->params.callers;
    store_client_arguments.make_hello = [this] { return this->make_hello(); };
    store_client_arguments.metrics = &this->metrics;
    store_client_arguments.on_call_ended = [this] { this->check_drained(); };
    this->stores = std::make_unique<store_client>(std::move(store_client_arguments));

    fleet::keeper_client::callbacks keeper_callbacks;
    keeper_callbacks.make_hello = [this] { return this->make_hello(); };
    keeper_callbacks.routes_changed = [this] { this->forwarder->routes_changed(); };
    keeper_callbacks.target_changed = [this](const membership::directory_change& change) {
        this->forwarder->target_changed(change);
    };
    keeper_callbacks.permits_changed = [this](const target_id& target) {
        this->forwarder->permits_changed(target);
    };
    keeper_callbacks.suspect_changed = [this](const request_fingerprint& fingerprint) {
        this->forwarder->suspect_changed(fingerprint);
    };
    keeper_callbacks.stores_changed = [this] {
        this->stores->stores_changed(this->fleet->stores());
    };
    keeper_callbacks.initial_members_received = [](const std::vector<quorum::member>&) {};
    keeper_callbacks.keeper_connected = [this](const instance_id& keeper) {
        this->forwarder->keeper_connected(keeper);
    };
    keeper_callbacks.relays_found = [this](const wire::relay_lookup_response& response) {
        this->relays->handle(response);
    };
    keeper_callbacks.keeper_greeted = [this](const instance_id& keeper) {
        if (this->usage) {
            this->usage->keeper_greeted(keeper);
        }
    };
    this->fleet = std::make_unique<fleet::keeper_client>(
        *this->params.time, this->params.settings.gateway->fleet.seed_links(),
        this->params.parse_route_table, std::move(keeper_callbacks));

    relaying::relay_client::parameters relay_arguments;
    relay_arguments.time = this->params.time;
    relay_arguments.make_hello = [this] { return this->make_hello(); };
    relay_arguments.place = this->params.settings.place;
    relay_arguments.self = this->params.settings.instance;
    relay_arguments.ask_keeper = [this](const wire::message& question) {
        return this->fleet->ask_nearest(question);
    };
    relay_arguments.metrics = &this->metrics;
    this->relays = std::make_unique<relaying::relay_client>(std::move(relay_arguments));

    this->responder = std::make_unique<caller_responder>(caller_responder::parameters{
        this->params.callers, &this->fleet->streams(), &this->metrics});

    take_ups::parameters resumption_arguments;
    resumption_arguments.time = this->params.time;
    resumption_arguments.streams = &this->fleet->streams();
    resumption_arguments.on_looked_up = [this](std::unique_ptr<http::exchange> exchange,
                                               const routed_call& call,
                                               const streams::lookup_result& result) {
        this->continue_take_up(std::move(exchange), call, result);
    };
    resumption_arguments.on_ended = [this] { this->check_drained(); };
    this->resumptions = std::make_unique<take_ups>(std::move(resumption_arguments));
}

void gateway::open_usage() {
    const auto& duties = this->params.settings.duties;
    if (!duties || !duties->reports_usage) {
        return;
    }
    this->usage = std::make_unique<usage_reports>(usage_reports::parameters{
        duties::usage_windows({duties->usage_window, duties->usage_late}), this->params.time,
        &this->wall_time, this->fleet.get(), [this] { this->forwarder->count_open_runs(); }});
}

void gateway::open_forwarder() {
    forwarding::forwarder::parameters arguments;
    arguments.place = this->params.settings.place;
    arguments.time = this->params.time;
    arguments.seed = this->params.seed;
    arguments.protocol = this->params.targets;
    arguments.fleet = this->fleet.get();
    arguments.metrics = &this->metrics;
    arguments.limits = this->params.settings.responses;
    arguments.max_response_bytes =
        static_cast<std::size_t>(this->params.settings.gateway->response_limit);
    arguments.on_call_ended = [this] { this->check_drained(); };
    arguments.budget = this->responses;
    arguments.relays = this->relays.get();
    if (this->usage) {
        arguments.run_began = [this](const account_name& account, duration ago) {
            this->usage->run_began(account, ago);
        };
    }
    this->forwarder = std::make_unique<forwarding::forwarder>(std::move(arguments));
}

} // namespace kingcupcart::gateway
