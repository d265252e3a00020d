#include "entry/internal/frontend.h"

#include "base/clock.h"
#include "entry/internal/call.h"
#include "entry/internal/peer_sink.h"
#include "http/exchange.h"
#include "http/response_budget.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::entry {

static_assert(call<engine_call>);
static_assert(call<service_call>);

namespace {

constexpr int status_bad_request = 400;
constexpr int status_too_many_requests = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
/// Heartbeats are relayed, and expired targets removed, this many times per target lease.
constexpr int renewals_per_lease = 3;

int status_of(const requests::refuse_request& action) {
    switch (action.reason) {
    case requests::refusal_reason::queue_full:
    case requests::refusal_reason::would_be_late:
    case requests::refusal_reason::rate_limited:
        return status_too_many_requests;
    case requests::refusal_reason::deadline_passed:
        return status_gateway_timeout;
    case requests::refusal_reason::no_target:
    case requests::refusal_reason::stopping:
    case requests::refusal_reason::no_path:
        return status_unavailable;
    case requests::refusal_reason::unknown_class:
        return status_bad_request;
    case requests::refusal_reason::target_unreachable:
    case requests::refusal_reason::target_failed:
    case requests::refusal_reason::unknown_software:
        return status_bad_gateway;
    case requests::refusal_reason::quarantined:
        return action.outcome == requests::outcome_kind::not_run ? status_unavailable
                                                                 : status_bad_gateway;
    }
    return status_bad_gateway;
}

} // namespace

outcome<std::unique_ptr<frontend>> frontend::open(parameters arguments) {
    const settings::entry_settings entry = *arguments.settings.entry;
    std::unique_ptr<frontend> created(new frontend(std::move(arguments)));
    BOOST_LEAF_ASSIGN(created->server,
                      http::server::open(
                          entry.callers, entry.body_limit,
                          [handler = created.get()](std::unique_ptr<http::exchange> exchange) {
                              handler->handle_request(std::move(exchange));
                          },
                          created->caller_memory));
    BOOST_LEAF_ASSIGN(created->deployment,
                      configuration::deployment::parse(configuration::deployment::default_text(),
                                                       "default configuration"));
    created->dispatcher.set_classes(created->deployment.class_list());
    created->renew_soft_state();
    return created;
}

frontend::frontend(parameters arguments)
    : params(std::move(arguments)),
      directory(params.settings.place),
      dispatcher(params.settings.place, {}, params.seed),
      keys(params.settings.instance, params.incarnation, params.settings.entry->key_lifetime,
           params.peers,
           [this](const service_request& request, time_point key_created,
                  std::unique_ptr<response_sink> sink) {
               this->run_service(request, key_created, std::move(sink));
           }),
      client(*params.time, {params.settings.responses, {}}),
      caller_memory(std::make_shared<http::caller_budget>(*params.time,
                                                          params.settings.responses.budget_bytes)),
      context{client, [this](const requests::message& incoming) { this->dispatch(incoming); }},
      dispatcher_timer([this] {
          this->armed_time = time_point::max();
          this->dispatch(requests::timer_expired{});
      }),
      soft_state_timer([this] { this->renew_soft_state(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

frontend::~frontend() = default;

void frontend::handle(frontend_message incoming) {
    std::visit([this](auto& alternative) { this->on(alternative); }, incoming);
}

void frontend::dispatch(const requests::message& incoming) {
    this->execute(this->dispatcher.handle(incoming, this->params.time->now()));
    if (const auto* disconnect = std::get_if<requests::caller_disconnected>(&incoming)) {
        this->metrics.count("callers_left_total");
        if (this->dispatcher.has_request(disconnect->request)) {
            return;
        }
        if (any_call* dropped_call = this->find(disconnect->request)) {
            std::visit([](auto& active_call) { active_call->abandon(); }, *dropped_call);
        }
        this->remove_call(disconnect->request);
    }
    this->arm_dispatcher_timer();
}

void frontend::execute(const requests::actions& actions) {
    for (const requests::action& action : actions) {
        std::visit([this](const auto& alternative) { this->execute(alternative); }, action);
    }
}

void frontend::execute(const requests::send_attempt& action) {
    spdlog::info("route request={} attempt={} cause={} resume_after={} {}", action.request.value(),
                 action.attempt.value(), requests::to_string(action.cause),
                 action.resume_after.count(), action.choice.explain());
    this->metrics.count(std::string("attempts_total{cause=\"") + requests::to_string(action.cause) +
                        "\"}");
    this->attempts.emplace(action.attempt, action.request);
    const membership::target_record* record = this->directory.find(action.target);
    if (record == nullptr) {
        // The target left the directory after the dispatcher chose it.
        this->dispatch(
            requests::attempt_failed{action.attempt, requests::attempt_failure::unreachable});
        return;
    }
    const membership::target_record target = *record;
    std::visit([&](auto& active_call) { active_call->start_attempt(action, target); },
               *this->find(action.request));
}

// The dispatcher does not track paths here, so it neither relays requests nor probes paths.

void frontend::execute(const requests::relay_attempt& action) {
    this->dispatch(requests::attempt_failed{action.attempt, requests::attempt_failure::no_relay});
}

void frontend::execute(const requests::probe_path& action) {
    this->dispatch(requests::probe_ended{action.target, false, {}});
}

void frontend::execute(const requests::paths_changed& /*action*/) {}

void frontend::execute(const requests::select_attempt& action) {
    std::visit([&](auto& active_call) { active_call->select(action.attempt); },
               *this->find(action.request));
}

void frontend::execute(const requests::bind_stream& action) {
    spdlog::info("stream {} request={} attempt={} target={} software={}",
                 action.software ? "bound" : "unbound", action.request.value(),
                 action.attempt.value(), action.target.value(),
                 action.software ? action.software->value() : "unknown");
}

void frontend::execute(const requests::cancel_attempt& action) {
    const auto found = this->attempts.find(action.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    if (any_call* owning_call = this->find(found->second)) {
        std::visit([&](auto& active_call) { active_call->cancel(action.attempt); }, *owning_call);
    }
    this->attempts.erase(found);
}

void frontend::execute(const requests::complete_request& action) {
    any_call* owning_call = this->find(action.request);
    this->metrics.count("requests_total{outcome=\"answered\"}");
    this->metrics.observe("request_seconds",
                          this->params.time->now() - this->start_times.at(action.request));
    std::visit([](auto& active_call) { active_call->complete(); }, *owning_call);
    this->remove_call(action.request);
}

void frontend::execute(const requests::refuse_request& action) {
    spdlog::warn("request refused request={} outcome={} reason={}", action.request.value(),
                 requests::to_string(action.outcome), requests::to_string(action.reason));
    this->metrics.count(std::string("requests_total{outcome=\"") +
                        requests::to_string(action.outcome) + "\"}");
    problem refusal;
    refusal.status = status_of(action);
    refusal.outcome = action.outcome;
    refusal.reason = requests::to_string(action.reason);
    refusal.retry_after = action.retry_after;
    std::visit([&](auto& active_call) { active_call->refuse(refusal); },
               *this->find(action.request));
    if (!this->dispatcher.has_request(action.request)) {
        this->remove_call(action.request);
    }
}

frontend::any_call* frontend::find(request_id request) {
    const auto found = this->calls.find(request);
    return found == this->calls.end() ? nullptr : &found->second;
}

void frontend::remove_call(request_id request) {
    const auto found = this->calls.find(request);
    if (found == this->calls.end()) {
        return;
    }
    this->pending_deletion.push_back(std::move(found->second));
    this->calls.erase(found);
    this->start_times.erase(request);
    std::erase_if(this->attempts, [&](const auto& item) { return item.second == request; });
    this->cleanup_timer.arm_now();
    this->check_drained();
}

void frontend::apply(const membership::directory_change& change) {
    if (change.is_record_change()) {
        spdlog::info("target changed target={} event={} backend={} address={} leaving={}",
                     change.record.id.value(), membership::to_string(change.event),
                     change.record.backend.value(), change.record.address.to_string(),
                     change.record.leaving);
    }
    this->execute(this->dispatcher.update_target(change, this->params.time->now()));
    this->arm_dispatcher_timer();
}

void frontend::on(const target_update_received& update) {
    const duration lease = this->params.settings.entry->target_lease;
    this->apply(this->directory.apply_update(update.record, lease, this->params.time->now()));
}

void frontend::on(const target_heartbeats_received& heartbeats) {
    const time_point now = this->params.time->now();
    for (const membership::target_load& load : heartbeats.targets) {
        this->directory.renew(load.id, this->params.settings.entry->target_lease, now);
        this->dispatcher.record_load(load);
    }
}

void frontend::on(const configuration_accepted& accepted) {
    this->apply_configuration(accepted.version, accepted.text);
}

void frontend::apply_configuration(configuration_version version, const std::string& text) {
    if (version <= this->in_force) {
        return;
    }
    auto parsed = value_or_error(
        [&] { return configuration::deployment::parse(text, "accepted configuration"); });
    if (const auto* failure = std::get_if<error>(&parsed)) {
        spdlog::error("configuration rejected version={} error=\"{}\"", version.value(),
                      failure->message);
        return;
    }
    this->deployment = std::move(std::get<configuration::deployment>(parsed));
    this->dispatcher.set_classes(this->deployment.class_list());
    this->in_force = version;
    spdlog::info("configuration in force version={}", version.value());
    static_cast<void>(this->params.peers.post(report_in_force{version, text}));
}

void frontend::on(const domain_size_changed& change) {
    this->dispatcher.set_instances(change.instances);
}

void frontend::on(const peer_link_opened& /*opened*/) {
    for (const membership::target_record& record : this->directory.records()) {
        if (record.place == this->params.settings.place) {
            static_cast<void>(this->params.peers.post(broadcast_target{record}));
        }
    }
}

void frontend::on(forwarded_call_received& received) {
    wire::forward_call_request& call = received.call;
    auto sink = std::make_unique<peer_sink>(received.origin, call.call, this->params.peers);
    if (call.incarnation != this->params.incarnation) {
        sink->refuse(owner_lost());
        return;
    }
    service_request request;
    request.key = call.key;
    request.caller = call.caller;
    request.work_class = call.work_class;
    request.service = call.service;
    request.method = call.method;
    request.path = call.path;
    request.headers = std::move(call.headers);
    request.body = std::move(call.body);
    const auto issued = requests::issued_key::parse(request.key.value());
    const time_point now = this->params.time->now();
    this->run_service(request, issued ? issued->issued : now, std::move(sink));
}

void frontend::on(forwarded_call_completed& completed) {
    this->keys.complete_call(std::move(completed.response));
}

void frontend::on(const claim_completed& completed) {
    this->keys.complete_claim(completed, this->params.time->now());
}

void frontend::on(const stop_announced& announced) {
    this->execute(this->dispatcher.announce_stop(announced.deadline, this->params.time->now()));
    this->arm_dispatcher_timer();
    this->server->close_connections();
}

void frontend::on(stop_request& request) {
    this->is_stopping = true;
    this->on_drained = std::move(request.on_drained);
    this->execute(this->dispatcher.begin_stop(request.deadline, this->params.time->now()));
    this->arm_dispatcher_timer();
    this->server->begin_stop([this] { this->check_drained(); });
}

void frontend::on(const admin::report_request& request) {
    this->metrics.set("open_requests", static_cast<double>(this->dispatcher.open_requests()));
    this->metrics.set("queued_requests", static_cast<double>(this->dispatcher.queued_requests()));
    this->client.budget().export_metrics(this->metrics);
    this->caller_memory->export_metrics(this->metrics);
    this->metrics.set("targets", static_cast<double>(this->directory.size()));
    this->metrics.set("configuration_version", static_cast<double>(this->in_force.value()));
    admin::report report;
    report.component = "entry";
    report.status = this->status_json();
    report.metrics = this->metrics.exposition();
    // A load balancer must not send callers here before an accepted configuration is in force.
    const bool has_configuration =
        this->params.settings.entry->keepers.empty() || this->in_force > configuration_version(0);
    report.is_ready = !this->is_stopping && has_configuration;
    static_cast<void>(request.reply.post(std::move(report)));
}

void frontend::renew_soft_state() {
    const time_point now = this->params.time->now();
    for (const auto& change : this->directory.expire(now)) {
        this->apply(change);
        this->loads.erase(change.record.id);
        static_cast<void>(this->params.peers.post(broadcast_target{change.record}));
    }
    send_target_heartbeats heartbeats;
    for (const target_id& target : this->directory.locally_announced()) {
        heartbeats.targets.push_back(this->loads[target]);
    }
    static_cast<void>(this->params.peers.post(std::move(heartbeats)));
    this->soft_state_timer.arm(now +
                               this->params.settings.entry->target_lease / renewals_per_lease);
}

void frontend::arm_dispatcher_timer() {
    const auto next = this->dispatcher.next_wakeup();
    // Arming wakes the event loop, so the timer is only moved to an earlier time.
    if (next && *next < this->armed_time) {
        this->armed_time = *next;
        this->dispatcher_timer.arm(*next);
    }
}

void frontend::check_drained() {
    if (this->on_drained && this->calls.empty() && this->server->is_idle()) {
        this->server->close();
        std::exchange(this->on_drained, nullptr)();
    }
}

std::string frontend::status_json() const {
    nlohmann::ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["failure_domain"] = this->params.settings.place.domain.value();
    status["region"] = this->params.settings.place.region.value();
    status["configuration_version"] = this->in_force.value();
    status["stopping"] = this->is_stopping;
    status["open_requests"] = this->dispatcher.open_requests();
    status["queued_requests"] = this->dispatcher.queued_requests();
    status["targets"] = nlohmann::ordered_json::array();
    for (const membership::target_record& record : this->directory.records()) {
        nlohmann::ordered_json target;
        target["id"] = record.id.value();
        target["kind"] = record.kind == membership::target_kind::engine ? "engine" : "service";
        target["backend"] = record.backend.value();
        target["address"] = record.address.to_string();
        target["failure_domain"] = record.place.domain.value();
        target["region"] = record.place.region.value();
        target["slots"] = record.slots;
        target["leaving"] = record.leaving;
        target["weight_version"] = record.version.value();
        target["running_here"] = this->dispatcher.running_on(record.id);
        status["targets"].push_back(std::move(target));
    }
    return status.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace kingcupcart::entry
