#include "forwarding/forwarder.h"

#include "forwarding/internal/forwarded_call.h"
#include "forwarding/internal/path_monitor.h"
#include "forwarding/internal/target_checks.h"
#include "forwarding/response_observer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <numeric>
#include <string>
#include <utility>

namespace kingcupcart::forwarding {

namespace {

/// Requests of one work class that may be queued per service.
constexpr std::size_t queue_limit = 1000;

requests::dispatcher_limits make_limits() {
    requests::dispatcher_limits limits;
    limits.hedge_floor = std::chrono::milliseconds(60);
    limits.tracks_paths = true;
    return limits;
}

/// 0 if neither the route nor the call sets a limit.
std::size_t max_attempts(const routes::route& route, const call_parameters& call) {
    if (route.max_attempts == 0 || call.max_attempts == 0) {
        return std::max(route.max_attempts, call.max_attempts);
    }
    return std::min(route.max_attempts, call.max_attempts);
}

} // namespace

forwarder::forwarder(parameters arguments)
    : params(std::move(arguments)),
      random(this->params.seed),
      dispatcher(this->params.place, make_limits(), this->params.seed,
                 &this->params.fleet->limits().account(), &this->params.fleet->crashes().account()),
      client(*this->params.time, {this->params.limits, {}, this->params.budget}),
      checks(std::make_unique<target_checks>(*this->params.time, *this->params.fleet)),
      paths(std::make_unique<path_monitor>(path_monitor::parameters{
          this->params.time, this->params.fleet, this->params.relays, this->params.metrics,
          [this](const requests::probe_ended& ended) { this->dispatch(ended); }})),
      dispatcher_timer([this] { this->dispatch(requests::timer_expired{}); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {
    this->dispatcher.set_kept_connections([this](const target_id& id) {
        const membership::target_record* target = this->params.fleet->targets().find(id);
        return target != nullptr && this->client.has_idle(target->address);
    });
    if (this->params.fleet->routes() != nullptr) {
        this->routes_changed();
    }
    for (const membership::target_record& record : this->params.fleet->targets().records()) {
        this->target_changed({membership::directory_event::added, record});
    }
}

forwarder::~forwarder() = default;

void forwarder::routes_changed() {
    std::vector<admission::work_class> classes;
    for (const routes::route& route : this->params.fleet->routes()->routes) {
        admission::work_class work_class;
        work_class.name = work_class_name(route.name.value());
        work_class.deadline = route.timeout;
        work_class.queue_limit = queue_limit;
        classes.push_back(std::move(work_class));
    }
    this->dispatcher.set_classes(classes);
}

void forwarder::target_changed(const membership::directory_change& change) {
    this->execute(this->dispatcher.update_target(change, this->params.time->now()));
    this->process_unless_busy();
}

void forwarder::permits_changed(const target_id& target) {
    this->execute(this->dispatcher.update_permits(target, this->params.time->now()));
    this->process_unless_busy();
}

void forwarder::suspect_changed(const request_fingerprint& fingerprint) {
    this->execute(this->dispatcher.update_suspect(fingerprint, this->params.time->now()));
    this->process_unless_busy();
}

void forwarder::keeper_connected(const instance_id& keeper) {
    this->paths->report_to(keeper);
}

backend_name forwarder::choose_service(const routes::route& route) {
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

request_id forwarder::start(const routes::route& route, call_parameters call) {
    const time_point now = this->params.time->now();
    const duration max_wait = std::min(call.max_wait, route.timeout);
    const bool is_stream = route.kind == routes::route_kind::stream;
    const bool is_resumable = is_stream && route.is_resumable;
    call.request.is_repeatable = route.kind == routes::route_kind::repeatable || is_resumable;

    requests::request_profile profile;
    profile.id = request_id(++this->last_request);
    profile.caller = caller_id(route.name.value());
    profile.account = call.request.account;
    if (call.origin) {
        profile.backend = call.origin->backend;
        profile.software = call.origin->software;
    } else {
        profile.backend = call.service ? *call.service : this->choose_service(route);
    }
    profile.work_class = work_class_name(route.name.value());
    profile.repeatable = call.request.is_repeatable;
    profile.resumable = is_resumable;
    profile.is_streamed = is_stream;
    profile.deadline = max_wait;
    profile.objective = route.latency_objective;
    profile.prompt = call.prompt;
    profile.max_attempts = max_attempts(route, call);
    profile.fingerprint = call.fingerprint;
    profile.may_relay = call.may_relay && this->params.relays != nullptr;
    profile.is_relayed = call.is_relayed;

    const account_name account = call.request.account;
    forwarded_call::parameters arguments;
    arguments.call = std::move(call);
    arguments.protocol = this->params.protocol;
    arguments.deadline = now + max_wait;
    arguments.is_stream = is_stream;
    arguments.max_response_bytes = this->params.max_response_bytes;
    arguments.time = this->params.time;
    arguments.client = &this->client;
    arguments.relays = this->params.relays;
    arguments.budget = this->params.budget;
    arguments.notify = [this](const requests::message& message) { this->dispatch(message); };
    arguments.head_received = [this](const observed_request& request,
                                     const http::response_head& head) {
        observe_response(*this->params.fleet, this->params.protocol, request, head);
        this->checks->record_response(request);
    };
    arguments.metrics = this->params.metrics;
    if (this->params.run_began && !account.value().empty()) {
        arguments.run_began = [this, account](duration ago) {
            this->params.run_began(account, ago);
        };
    }
    this->calls.emplace(
        profile.id,
        open_call{std::make_unique<forwarded_call>(std::move(arguments)), profile.backend, now});
    this->dispatch(requests::request_arrived{profile});
    return profile.id;
}

void forwarder::cancel(request_id request) {
    if (!this->calls.contains(request)) {
        return;
    }
    this->dispatch(requests::caller_disconnected{request});
    this->finish(request, "abandoned");
}

void forwarder::count_open_runs() {
    for (const auto& [request, open] : this->calls) {
        open.call->count_open_runs();
    }
}

void forwarder::stream_sent(request_id request) {
    const auto found = this->calls.find(request);
    if (found != this->calls.end()) {
        found->second.call->stream_sent();
    }
}

void forwarder::announce_stop(time_point deadline) {
    this->execute(this->dispatcher.announce_stop(deadline, this->params.time->now()));
    this->dispatch(requests::timer_expired{});
}

void forwarder::begin_stop(time_point deadline) {
    this->execute(this->dispatcher.begin_stop(deadline, this->params.time->now()));
    this->dispatch(requests::timer_expired{});
}

void forwarder::dispatch(const requests::message& message) {
    this->inbox.push_back(message);
    this->process_unless_busy();
}

void forwarder::process_unless_busy() {
    if (!this->is_processing) {
        this->process_inbox();
    }
}

void forwarder::process_inbox() {
    this->is_processing = true;
    while (!this->inbox.empty()) {
        const requests::message message = std::move(this->inbox.front());
        this->inbox.pop_front();
        this->execute(this->dispatcher.handle(message, this->params.time->now()));
    }
    this->is_processing = false;
    this->params.fleet->limits().update_demands();
    this->params.fleet->crashes().update();
    this->checks->update();
    if (const auto next = this->dispatcher.next_wakeup()) {
        this->dispatcher_timer.arm(*next);
    }
}

void forwarder::execute(const requests::actions& pending) {
    for (const requests::action& action : pending) {
        std::visit([this](const auto& alternative) { this->on(alternative); }, action);
    }
}

void forwarder::on(const requests::send_attempt& action) {
    const auto found = this->calls.find(action.request);
    const membership::target_record* target = this->params.fleet->targets().find(action.target);
    if (found == this->calls.end() || target == nullptr) {
        this->inbox.push_back(
            requests::attempt_failed{action.attempt, requests::attempt_failure::unreachable});
        return;
    }
    spdlog::info("sending attempt request={} attempt={} cause={} target={} backend={} "
                 "incarnation={} software={} routes={}",
                 found->second.call->name(), action.attempt.value(),
                 requests::to_string(action.cause), action.target.value(), target->backend.value(),
                 target->incarnation.value(), target->software.value(),
                 this->params.fleet->routes()->version.value());
    this->attempts.emplace(action.attempt, action.request);
    found->second.call->start_attempt(action, *target);
}

void forwarder::on(const requests::relay_attempt& action) {
    const auto found = this->calls.find(action.request);
    if (found == this->calls.end()) {
        this->dispatch(
            requests::attempt_failed{action.attempt, requests::attempt_failure::no_relay});
        return;
    }
    this->attempts.emplace(action.attempt, action.request);
    found->second.call->start_attempt(action);
}

void forwarder::on(const requests::probe_path& action) {
    this->paths->probe(action);
}

void forwarder::on(const requests::paths_changed& changed) {
    this->paths->update(changed, this->dispatcher.cut_off_backends(this->params.time->now()));
}

void forwarder::on(const requests::select_attempt& selected) {
    const auto found = this->calls.find(selected.request);
    if (found != this->calls.end()) {
        found->second.call->select_attempt(selected.attempt);
    }
}

void forwarder::on(const requests::bind_stream& bound) {
    const auto found = this->calls.find(bound.request);
    if (found == this->calls.end()) {
        return;
    }
    spdlog::info("stream {} request={} attempt={} target={} backend={} software={}",
                 bound.software ? "bound" : "unbound", found->second.call->name(),
                 bound.attempt.value(), bound.target.value(), found->second.service.value(),
                 bound.software ? bound.software->value() : "unknown");
    std::optional<stream_origin> origin;
    if (bound.software) {
        origin = stream_origin{found->second.service, *bound.software};
    }
    found->second.call->bind_stream(origin);
}

void forwarder::on(const requests::cancel_attempt& cancelled) {
    const auto attempt = this->attempts.find(cancelled.attempt);
    if (attempt == this->attempts.end()) {
        return;
    }
    const auto found = this->calls.find(attempt->second);
    if (found != this->calls.end()) {
        found->second.call->cancel(cancelled.attempt);
    }
    this->attempts.erase(attempt);
}

void forwarder::on(const requests::complete_request& completed) {
    const auto found = this->calls.find(completed.request);
    if (found != this->calls.end()) {
        found->second.call->complete();
        this->finish(completed.request, "answered");
    }
}

void forwarder::on(const requests::refuse_request& refused) {
    const auto found = this->calls.find(refused.request);
    if (found != this->calls.end()) {
        if (refused.reason == requests::refusal_reason::rate_limited) {
            this->log_rate_limited(found->second.call->name(), refused);
        } else if (refused.reason == requests::refusal_reason::quarantined) {
            this->log_quarantined(*found->second.call, refused);
        }
        found->second.call->fail({refused.outcome, refused.reason, refused.retry_after});
        this->finish(refused.request, requests::to_string(refused.outcome));
    }
}

void forwarder::log_quarantined(const forwarded_call& call,
                                const requests::refuse_request& refused) {
    const std::optional<request_fingerprint>& fingerprint = call.fingerprint();
    spdlog::info("request is quarantined request={} fingerprint={} crashes={} outcome={} "
                 "retry_after_ms={}",
                 call.name(), fingerprint ? fingerprint->to_string() : "",
                 fingerprint ? this->params.fleet->crashes().account().crashes(*fingerprint) : 0,
                 requests::to_string(refused.outcome),
                 refused.retry_after / std::chrono::milliseconds(1));
    this->params.metrics->count("requests_quarantined_total");
}

void forwarder::log_rate_limited(const std::string& name, const requests::refuse_request& refused) {
    const target_id& target = refused.limited_target;
    const permits::target_limit* limit = this->params.fleet->limits().table().find(target);
    spdlog::info(
        "request exceeds the rate of its targets request={} target={} rate={} "
        "sent_in_4s={} retry_after_ms={}",
        name, target.value(), limit == nullptr ? 0 : limit->rate->count(),
        this->params.fleet->limits().account().sent_recently(target, this->params.time->now()),
        refused.retry_after / std::chrono::milliseconds(1));
    this->params.metrics->count("requests_rate_limited_total");
}

void forwarder::finish(request_id request, const char* outcome) {
    const auto found = this->calls.find(request);
    if (found == this->calls.end()) {
        return;
    }
    const duration elapsed = this->params.time->now() - found->second.started_at;
    spdlog::info("request finished request={} outcome={} status={} took_ms={}",
                 found->second.call->name(), outcome, found->second.call->status(),
                 elapsed / std::chrono::milliseconds(1));
    this->params.metrics->observe("request_seconds", elapsed);
    this->params.metrics->count(std::string("requests_total{outcome=\"") + outcome + "\"}");
    this->pending_deletion.push_back(std::move(found->second.call));
    this->calls.erase(found);
    std::erase_if(this->attempts, [&](const auto& entry) { return entry.second == request; });
    this->cleanup_timer.arm_now();
    this->params.on_call_ended();
}

} // namespace kingcupcart::forwarding
