#include "gateway/internal/gateway.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Limit of the body of a load balancer's readiness request, in bytes.
constexpr std::int64_t ready_body_limit = 4096;
/// Delay after which a refused caller may retry; full targets usually have free slots again by
/// then.
constexpr duration retry_after_default = std::chrono::milliseconds(100);
/// Upper limit of the time that a submission waits for a store: the time that callers wait.
constexpr duration submission_max_wait = std::chrono::milliseconds(2500);
/// Requests of one work class that may be queued per service.
constexpr std::size_t queue_limit = 1000;

requests::dispatcher_limits make_limits() {
    requests::dispatcher_limits limits;
    limits.hedge_floor = std::chrono::milliseconds(60);
    return limits;
}

} // namespace

outcome<std::unique_ptr<gateway>> gateway::open(parameters arguments) {
    std::unique_ptr<gateway> created(new gateway(std::move(arguments)));
    created->open_fleet();
    BOOST_LEAF_CHECK(created->open_servers());
    return created;
}

gateway::gateway(parameters arguments)
    : params(std::move(arguments)),
      random(this->params.seed),
      dispatcher(this->params.settings.place, make_limits(), this->params.seed),
      dispatcher_timer([this] { this->dispatch(requests::timer_expired{}); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

gateway::~gateway() = default;

outcome<void> gateway::open_servers() {
    const settings::gateway_settings& gateway_settings = *this->params.settings.gateway;
    const auto on_request = [this](std::unique_ptr<http::exchange> exchange) {
        this->handle_request(std::move(exchange));
    };
    BOOST_LEAF_ASSIGN(
        this->callers_server,
        http::server::open(gateway_settings.callers, gateway_settings.body_limit, on_request));
    BOOST_LEAF_ASSIGN(this->ready_server,
                      http::server::open(gateway_settings.ready, ready_body_limit, on_request));
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
    keeper_callbacks.routes_changed = [this] { this->routes_changed(); };
    keeper_callbacks.target_changed = [this](const membership::directory_change& change) {
        for (const requests::action& action :
             this->dispatcher.update_target(change, this->params.time->now())) {
            this->execute(action);
        }
    };
    keeper_callbacks.stores_changed = [this] {
        this->stores->stores_changed(this->fleet->stores());
    };
    keeper_callbacks.initial_members_received = [](const std::vector<quorum::member>&) {};
    keeper_callbacks.keeper_connected = [](const instance_id&) {};
    this->fleet = std::make_unique<fleet::keeper_client>(
        *this->params.time, this->params.settings.gateway->fleet.seed_links(),
        this->params.parse_route_table, std::move(keeper_callbacks));
}

wire::hello gateway::make_hello() const {
    wire::hello hello;
    hello.instance = this->params.settings.instance;
    hello.incarnation = this->params.incarnation;
    hello.place = this->params.settings.place;
    hello.role = wire::instance_role::gateway;
    return hello;
}

bool gateway::is_ready() const {
    return !this->is_stopping && this->fleet->has_confirmed_routes();
}

void gateway::handle(gateway_message incoming) {
    std::visit([this](auto& alternative) { this->on(alternative); }, incoming);
}

void gateway::on(const settings::seeds_changed& changed) {
    this->fleet->add_seeds(changed.links);
}

void gateway::on(const stop_announced& /*announced*/) {
    this->is_stopping = true;
}

void gateway::on(stop_started& started) {
    this->is_stopping = true;
    this->on_drained = std::move(started.on_drained);
    this->callers_server->begin_stop([this] { this->check_drained(); });
    this->check_drained();
}

void gateway::check_drained() {
    const bool is_idle = this->requests.empty() && this->stores->open_count() == 0 &&
                         this->callers_server->is_idle();
    if (!this->on_drained || !is_idle) {
        return;
    }
    // Called once only: the object that the callback refers to may no longer exist when the
    // servers close.
    const auto callback = std::exchange(this->on_drained, nullptr);
    callback();
}

void gateway::routes_changed() {
    std::vector<admission::work_class> classes;
    for (const routes::route& route : this->fleet->routes()->routes) {
        admission::work_class work_class;
        work_class.name = work_class_name(route.name.value());
        work_class.deadline = route.timeout;
        work_class.queue_limit = queue_limit;
        classes.push_back(std::move(work_class));
    }
    this->dispatcher.set_classes(classes);
}

void gateway::handle_request(std::unique_ptr<http::exchange> exchange) {
    const caller_call call = this->params.callers.parse_call(*exchange);
    if (std::holds_alternative<readiness_call>(call)) {
        this->params.callers.send_readiness(*exchange, this->is_ready());
    } else if (const auto* routed = std::get_if<routed_call>(&call)) {
        this->handle_routed_call(std::move(exchange), *routed);
    } else if (const auto* results = std::get_if<read_results_call>(&call)) {
        this->stores->read_results(std::move(exchange), *results);
    } else if (const auto* body = std::get_if<item_body_call>(&call)) {
        this->stores->read_body(std::move(exchange), *body);
    } else if (const auto* end_job = std::get_if<end_job_call>(&call)) {
        this->stores->end_job(std::move(exchange), *end_job);
    } else {
        this->refuse(*exchange, "",
                     {refusal_kind::malformed, std::get<malformed_call>(call).reason, {}});
    }
}

void gateway::refuse(http::exchange& exchange, const std::string& name, const refusal& details) {
    spdlog::info("request refused request={} outcome={} reason=\"{}\"", name,
                 to_string(details.kind), details.reason);
    this->metrics.count(std::string("requests_refused_total{outcome=\"") + to_string(details.kind) +
                        "\"}");
    this->params.callers.refuse(exchange, details);
}

void gateway::handle_routed_call(std::unique_ptr<http::exchange> exchange,
                                 const routed_call& call) {
    const auto table = this->fleet->routes();
    if (table == nullptr) {
        this->refuse(*exchange, call.request_name,
                     {refusal_kind::not_run, "this gateway has not received any routes yet",
                      retry_after_default});
        return;
    }
    const routes::route* route = table->find(call.host, call.path);
    if (route == nullptr) {
        this->refuse(*exchange, call.request_name,
                     {refusal_kind::no_route, "no route matches " + call.host + call.path, {}});
    } else if (route->kind == routes::route_kind::batch) {
        this->submit_job(std::move(exchange), call, *route);
    } else {
        this->forward(std::move(exchange), call, *route);
    }
}

void gateway::submit_job(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                         const routes::route& route) {
    auto parsed =
        value_or_error([&] { return this->params.callers.parse_job(*exchange, call, route); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        this->refuse(*exchange, call.request_name, {refusal_kind::malformed, problem->message, {}});
        return;
    }
    const duration max_wait =
        std::min(call.max_wait.value_or(submission_max_wait), submission_max_wait);
    this->stores->submit(std::move(exchange), std::get<batch::job>(std::move(parsed)), max_wait);
}

backend_name gateway::choose_service(const routes::route& route) {
    const auto total = std::accumulate(
        route.shares.begin(), route.shares.end(), std::uint64_t{0},
        [](std::uint64_t sum, const routes::service_share& share) { return sum + share.weight; });
    std::uint64_t remaining = this->random() % std::max<std::uint64_t>(total, 1);
    for (const routes::service_share& share : route.shares) {
        if (remaining < share.weight) {
            return share.service;
        }
        remaining -= share.weight;
    }
    return route.shares.empty() ? backend_name() : route.shares.back().service;
}

void gateway::forward(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                      const routes::route& route) {
    const time_point now = this->params.time->now();
    const duration max_wait = std::min(call.max_wait.value_or(route.timeout), route.timeout);
    const bool is_stream = route.kind == routes::route_kind::stream;
    forwarded_call::parameters arguments;
    arguments.id = request_id(++this->last_request);
    arguments.call = call;
    arguments.request.method = exchange->method();
    arguments.request.path = exchange->path();
    arguments.request.headers = exchange->headers();
    arguments.request.body = exchange->body();
    arguments.request.is_repeatable =
        route.kind == routes::route_kind::repeatable || (is_stream && route.is_resumable);
    arguments.exchange = std::move(exchange);
    arguments.protocol = this->params.targets;
    arguments.deadline = now + max_wait;
    arguments.is_stream = is_stream;
    arguments.time = this->params.time;
    arguments.client = &this->client;
    arguments.notify = [this](const requests::message& message) { this->dispatch(message); };
    arguments.refuse = [this, name = call.request_name](http::exchange& to,
                                                        const refusal& details) {
        this->refuse(to, name, details);
    };

    requests::request_profile profile;
    profile.id = arguments.id;
    profile.caller = caller_id(route.name.value());
    profile.backend = this->choose_service(route);
    profile.work_class = work_class_name(route.name.value());
    profile.repeatable = arguments.request.is_repeatable;
    profile.resumable = is_stream && route.is_resumable;
    profile.deadline = max_wait;
    profile.max_attempts = route.max_attempts;
    this->requests.emplace(
        profile.id, open_request{std::make_unique<forwarded_call>(std::move(arguments)), now});
    this->dispatch(requests::request_arrived{profile});
}

void gateway::dispatch(const requests::message& message) {
    this->inbox.push_back(message);
    if (!this->is_processing) {
        this->process_inbox();
    }
}

void gateway::process_inbox() {
    this->is_processing = true;
    while (!this->inbox.empty()) {
        const requests::message message = std::move(this->inbox.front());
        this->inbox.pop_front();
        for (const requests::action& action :
             this->dispatcher.handle(message, this->params.time->now())) {
            this->execute(action);
        }
    }
    this->is_processing = false;
    if (const auto next = this->dispatcher.next_wakeup()) {
        this->dispatcher_timer.arm(*next);
    }
}

void gateway::execute(const requests::action& action) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, action);
}

void gateway::on(const requests::send_attempt& action) {
    const auto found = this->requests.find(action.request);
    const membership::target_record* target = this->fleet->targets().find(action.target);
    if (found == this->requests.end() || target == nullptr) {
        this->inbox.push_back(
            requests::attempt_failed{action.attempt, requests::attempt_failure::unreachable});
        return;
    }
    spdlog::info("sending attempt request={} attempt={} cause={} target={} backend={} "
                 "incarnation={} routes={}",
                 found->second.call->name(), action.attempt.value(),
                 requests::to_string(action.cause), action.target.value(), target->backend.value(),
                 target->incarnation.value(), this->fleet->routes()->version.value());
    this->attempts.emplace(action.attempt, action.request);
    found->second.call->start_attempt(action, *target);
}

void gateway::on(const requests::select_attempt& selected) {
    const auto found = this->requests.find(selected.request);
    if (found != this->requests.end()) {
        found->second.call->select_attempt(selected.attempt);
    }
}

void gateway::on(const requests::cancel_attempt& cancelled) {
    const auto attempt = this->attempts.find(cancelled.attempt);
    if (attempt == this->attempts.end()) {
        return;
    }
    const auto found = this->requests.find(attempt->second);
    if (found != this->requests.end()) {
        found->second.call->cancel(cancelled.attempt);
    }
    this->attempts.erase(attempt);
}

void gateway::on(const requests::complete_request& completed) {
    const auto found = this->requests.find(completed.request);
    if (found != this->requests.end()) {
        found->second.call->complete();
        this->finish(completed.request, "answered");
    }
}

void gateway::on(const requests::refuse_request& refused) {
    const auto found = this->requests.find(refused.request);
    if (found == this->requests.end()) {
        return;
    }
    refusal details;
    details.reason = requests::to_string(refused.reason);
    details.retry_after =
        refused.retry_after > duration::zero() ? refused.retry_after : retry_after_default;
    if (refused.outcome == requests::outcome_kind::not_run) {
        details.kind = refusal_kind::not_run;
    } else {
        details.kind = refused.reason == requests::refusal_reason::deadline_passed
                           ? refusal_kind::too_late
                           : refusal_kind::failed;
    }
    found->second.call->refuse(details);
    this->finish(refused.request, requests::to_string(refused.outcome));
}

void gateway::finish(request_id request, const char* outcome) {
    const auto found = this->requests.find(request);
    const duration elapsed = this->params.time->now() - found->second.started_at;
    spdlog::info("request finished request={} outcome={} status={} took_ms={}",
                 found->second.call->name(), outcome, found->second.call->status(),
                 elapsed / std::chrono::milliseconds(1));
    this->metrics.observe("request_seconds", elapsed);
    this->metrics.count(std::string("requests_total{outcome=\"") + outcome + "\"}");
    this->pending_deletion.push_back(std::move(found->second.call));
    this->requests.erase(found);
    std::erase_if(this->attempts, [&](const auto& entry) { return entry.second == request; });
    this->cleanup_timer.arm_now();
    this->check_drained();
}

void gateway::on(const admin::report_request& request) {
    nlohmann::ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["routes_version"] =
        this->fleet->routes() == nullptr ? 0 : this->fleet->routes()->version.value();
    status["keepers_reached"] = this->fleet->open_link_count();
    status["leading_store"] = this->stores->has_leader();
    status["targets"] = this->fleet->targets().size();
    status["open_requests"] = this->requests.size();
    status["open_batch_calls"] = this->stores->open_count();
    this->metrics.set("gateway_open_requests", static_cast<double>(this->requests.size()));
    this->metrics.set("gateway_targets", static_cast<double>(this->fleet->targets().size()));
    admin::report report;
    report.component = "gateway";
    report.status = status.dump() + "\n";
    report.metrics = this->metrics.exposition();
    report.is_ready = this->is_ready();
    request.reply.post(std::move(report));
}

} // namespace kingcupcart::gateway
