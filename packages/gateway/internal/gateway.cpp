#include "gateway/internal/gateway.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Largest body of a balancer's question.
constexpr std::int64_t ready_body_limit = 4096;
/// When a caller may come back after a refusal; targets that are full have room again by then.
constexpr duration retry_after_default = std::chrono::milliseconds(100);
/// A submission is waited for as long as its route allows, but no longer than callers wait.
constexpr duration submission_patience = std::chrono::milliseconds(2500);
/// Requests that may wait for each service.
constexpr std::size_t queue_limit = 1000;

requests::dispatcher_limits make_limits() {
    requests::dispatcher_limits limits;
    limits.hedge_floor = std::chrono::milliseconds(60);
    return limits;
}

} // namespace

outcome<std::unique_ptr<gateway>> gateway::open(parameters arguments) {
    std::unique_ptr<gateway> made(new gateway(std::move(arguments)));
    made->open_fleet();
    BOOST_LEAF_CHECK(made->open_servers());
    return made;
}

gateway::gateway(parameters arguments)
    : params(std::move(arguments)),
      random(this->params.seed),
      dispatcher(this->params.settings.place, make_limits(), this->params.seed),
      timer([this] { this->notify(requests::timer_expired{}); }),
      cleanup_timer([this] { this->finished.clear(); }) {}

gateway::~gateway() = default;

outcome<void> gateway::open_servers() {
    const settings::gateway_settings& kept = *this->params.settings.gateway;
    const auto taken = [this](std::unique_ptr<http::exchange> exchange) {
        this->take(std::move(exchange));
    };
    BOOST_LEAF_ASSIGN(this->callers_server,
                      http::server::open(kept.callers, kept.body_limit, taken));
    BOOST_LEAF_ASSIGN(this->ready_server, http::server::open(kept.ready, ready_body_limit, taken));
    return {};
}

void gateway::open_fleet() {
    batch_calls::parameters batch_parts;
    batch_parts.time = this->params.time;
    batch_parts.port = this->params.callers;
    batch_parts.greeting = [this] { return this->make_hello(); };
    batch_parts.metrics = &this->metrics;
    batch_parts.ended = [this] { this->check_drained(); };
    this->batches = std::make_unique<batch_calls>(std::move(batch_parts));

    fleet::keeper_client::callbacks told;
    told.greeting = [this] { return this->make_hello(); };
    told.routes_changed = [this] { this->routes_changed(); };
    told.target_changed = [this](const membership::directory_change& change) {
        for (const requests::action& one :
             this->dispatcher.update_target(change, this->params.time->now())) {
            this->execute(one);
        }
    };
    told.stores_changed = [this] { this->batches->stores_changed(this->fleet->stores()); };
    told.founders_told = [](const std::vector<quorum::member>&) {};
    told.opened = [](const instance_id&) {};
    this->fleet = std::make_unique<fleet::keeper_client>(
        *this->params.time, this->params.settings.gateway->fleet.seed_links(),
        this->params.read_table, std::move(told));
}

wire::hello gateway::make_hello() const {
    wire::hello said;
    said.instance = this->params.settings.instance;
    said.incarnation = this->params.incarnation;
    said.place = this->params.settings.place;
    said.role = wire::instance_role::gateway;
    return said;
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

void gateway::on(stop_started& begun) {
    this->is_stopping = true;
    this->drained = std::move(begun.drained);
    this->callers_server->begin_stop([this] { this->check_drained(); });
    this->check_drained();
}

void gateway::check_drained() {
    const bool is_idle = this->requests.empty() && this->batches->open_count() == 0 &&
                         this->callers_server->is_idle();
    if (!this->drained || !is_idle) {
        return;
    }
    // Told once: whoever waited for it may be gone when the servers close.
    const auto told = std::exchange(this->drained, nullptr);
    told();
}

void gateway::routes_changed() {
    std::vector<admission::work_class> classes;
    for (const routes::route& one : this->fleet->routes()->routes) {
        admission::work_class work;
        work.name = work_class_name(one.name.value());
        work.deadline = one.timeout;
        work.queue_limit = queue_limit;
        classes.push_back(std::move(work));
    }
    this->dispatcher.set_classes(classes);
}

void gateway::take(std::unique_ptr<http::exchange> exchange) {
    const caller_call call = this->params.callers.read_call(*exchange);
    if (std::holds_alternative<readiness_call>(call)) {
        this->params.callers.answer_readiness(*exchange, this->is_ready());
    } else if (const auto* routed = std::get_if<routed_call>(&call)) {
        this->take_routed(std::move(exchange), *routed);
    } else if (const auto* results = std::get_if<read_results_call>(&call)) {
        this->batches->read_results(std::move(exchange), *results);
    } else if (const auto* body = std::get_if<item_body_call>(&call)) {
        this->batches->read_body(std::move(exchange), *body);
    } else if (const auto* ended = std::get_if<end_job_call>(&call)) {
        this->batches->end_job(std::move(exchange), *ended);
    } else {
        this->refuse(*exchange, "",
                     {refusal_kind::malformed, std::get<malformed_call>(call).reason, {}});
    }
}

void gateway::refuse(http::exchange& exchange, const std::string& name, const refusal& why) {
    spdlog::info("refused request={} outcome={} reason=\"{}\"", name, to_string(why.kind),
                 why.reason);
    this->metrics.count(std::string("requests_refused_total{outcome=\"") + to_string(why.kind) +
                        "\"}");
    this->params.callers.refuse(exchange, why);
}

void gateway::take_routed(std::unique_ptr<http::exchange> exchange, const routed_call& call) {
    const auto table = this->fleet->routes();
    if (table == nullptr) {
        this->refuse(*exchange, call.request_name,
                     {refusal_kind::not_run, "no routes are known here yet", retry_after_default});
        return;
    }
    const routes::route* route = table->find(call.host, call.path);
    if (route == nullptr) {
        this->refuse(*exchange, call.request_name,
                     {refusal_kind::no_route, "no route for " + call.host + call.path, {}});
    } else if (route->kind == routes::route_kind::batch) {
        this->submit_job(std::move(exchange), call, *route);
    } else {
        this->forward(std::move(exchange), call, *route);
    }
}

void gateway::submit_job(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                         const routes::route& route) {
    auto read =
        value_or_error([&] { return this->params.callers.read_job(*exchange, call, route); });
    if (const auto* problem = std::get_if<error>(&read)) {
        this->refuse(*exchange, call.request_name, {refusal_kind::malformed, problem->message, {}});
        return;
    }
    const duration max_wait =
        std::min(call.max_wait.value_or(submission_patience), submission_patience);
    this->batches->submit(std::move(exchange), std::get<batch::job>(std::move(read)), max_wait);
}

backend_name gateway::draw_service(const routes::route& route) {
    const auto total = std::accumulate(
        route.shares.begin(), route.shares.end(), std::uint64_t{0},
        [](std::uint64_t sum, const routes::service_share& one) { return sum + one.weight; });
    std::uint64_t drawn = this->random() % std::max<std::uint64_t>(total, 1);
    for (const routes::service_share& one : route.shares) {
        if (drawn < one.weight) {
            return one.service;
        }
        drawn -= one.weight;
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
    arguments.port = this->params.targets;
    arguments.deadline = now + max_wait;
    arguments.is_stream = is_stream;
    arguments.time = this->params.time;
    arguments.client = &this->client;
    arguments.notify = [this](const requests::message& said) { this->notify(said); };
    arguments.refuse = [this, name = call.request_name](http::exchange& to, const refusal& why) {
        this->refuse(to, name, why);
    };

    requests::request_profile profile;
    profile.id = arguments.id;
    profile.caller = caller_id(route.name.value());
    profile.backend = this->draw_service(route);
    profile.work_class = work_class_name(route.name.value());
    profile.repeatable = arguments.request.is_repeatable;
    profile.resumable = is_stream && route.is_resumable;
    profile.deadline = max_wait;
    profile.attempts_max = route.attempts_max;
    this->requests.emplace(
        profile.id, open_request{std::make_unique<forwarded_call>(std::move(arguments)), now});
    this->notify(requests::request_arrived{profile});
}

void gateway::notify(const requests::message& said) {
    this->inbox.push_back(said);
    if (!this->is_working) {
        this->process_inbox();
    }
}

void gateway::process_inbox() {
    this->is_working = true;
    while (!this->inbox.empty()) {
        const requests::message said = std::move(this->inbox.front());
        this->inbox.pop_front();
        for (const requests::action& one :
             this->dispatcher.handle(said, this->params.time->now())) {
            this->execute(one);
        }
    }
    this->is_working = false;
    if (const auto next = this->dispatcher.next_wakeup()) {
        this->timer.arm(*next);
    }
}

void gateway::execute(const requests::action& wanted) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, wanted);
}

void gateway::on(const requests::send_attempt& sent) {
    const auto found = this->requests.find(sent.request);
    const membership::target_record* target = this->fleet->targets().find(sent.target);
    if (found == this->requests.end() || target == nullptr) {
        this->inbox.push_back(
            requests::attempt_failed{sent.attempt, requests::attempt_failure::unreachable});
        return;
    }
    spdlog::info(
        "route request={} attempt={} cause={} target={} backend={} incarnation={} routes={}",
        found->second.call->name(), sent.attempt.value(), requests::to_string(sent.cause),
        sent.target.value(), target->backend.value(), target->incarnation.value(),
        this->fleet->routes()->version.value());
    this->attempts.emplace(sent.attempt, sent.request);
    found->second.call->start_attempt(sent, *target);
}

void gateway::on(const requests::adopt_attempt& adopted) {
    const auto found = this->requests.find(adopted.request);
    if (found != this->requests.end()) {
        found->second.call->adopt(adopted.attempt);
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
    refusal why;
    why.reason = requests::to_string(refused.reason);
    why.retry_after =
        refused.retry_after > duration::zero() ? refused.retry_after : retry_after_default;
    if (refused.outcome == requests::outcome_kind::not_run) {
        why.kind = refusal_kind::not_run;
    } else {
        why.kind = refused.reason == requests::refusal_reason::deadline_passed
                       ? refusal_kind::too_late
                       : refusal_kind::failed;
    }
    found->second.call->refuse(why);
    this->finish(refused.request, requests::to_string(refused.outcome));
}

void gateway::finish(request_id request, const char* outcome) {
    const auto found = this->requests.find(request);
    const duration took = this->params.time->now() - found->second.began;
    spdlog::info("done request={} outcome={} status={} took_ms={}", found->second.call->name(),
                 outcome, found->second.call->status(), took / std::chrono::milliseconds(1));
    this->metrics.observe("request_seconds", took);
    this->metrics.count(std::string("requests_total{outcome=\"") + outcome + "\"}");
    this->finished.push_back(std::move(found->second.call));
    this->requests.erase(found);
    std::erase_if(this->attempts, [&](const auto& item) { return item.second == request; });
    this->cleanup_timer.arm_now();
    this->check_drained();
}

void gateway::on(const admin::report_request& asked) {
    nlohmann::ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["routes_version"] =
        this->fleet->routes() == nullptr ? 0 : this->fleet->routes()->version.value();
    status["keepers_reached"] = this->fleet->open_links();
    status["leading_store"] = this->batches->has_leader();
    status["targets"] = this->fleet->targets().size();
    status["open_requests"] = this->requests.size();
    status["open_batch_calls"] = this->batches->open_count();
    this->metrics.set("gateway_open_requests", static_cast<double>(this->requests.size()));
    this->metrics.set("gateway_targets", static_cast<double>(this->fleet->targets().size()));
    admin::report said;
    said.part = "gateway";
    said.status = status.dump() + "\n";
    said.metrics = this->metrics.exposition();
    said.is_ready = this->is_ready();
    asked.reply.post(std::move(said));
}

} // namespace kingcupcart::gateway
