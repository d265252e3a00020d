#include "entry/internal/front.h"

#include "base/clock.h"
#include "entry/internal/call.h"
#include "entry/internal/peer_sink.h"
#include "http/exchange.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::entry {

static_assert(call<engine_call>);
static_assert(call<service_call>);

namespace {

constexpr int status_bad_request = 400;
constexpr int status_too_many = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
/// Soft state is renewed this many times per target lease.
constexpr int renewals_per_lease = 3;

int status_of(const requests::refuse_request& refused) {
    switch (refused.reason) {
    case requests::refusal_reason::queue_full:
    case requests::refusal_reason::would_be_late:
        return status_too_many;
    case requests::refusal_reason::deadline_passed:
        return status_gateway_timeout;
    case requests::refusal_reason::no_target:
    case requests::refusal_reason::stopping:
        return status_unavailable;
    case requests::refusal_reason::unknown_class:
        return status_bad_request;
    case requests::refusal_reason::target_unreachable:
    case requests::refusal_reason::target_failed:
        return status_bad_gateway;
    }
    return status_bad_gateway;
}

} // namespace

outcome<std::unique_ptr<front>> front::open(parameters arguments) {
    const settings::entry_settings entry = *arguments.settings.entry;
    std::unique_ptr<front> made(new front(std::move(arguments)));
    BOOST_LEAF_ASSIGN(made->server,
                      http::server::open(entry.callers, entry.body_limit,
                                         [self = made.get()](std::unique_ptr<http::exchange> one) {
                                             self->request_arrived(std::move(one));
                                         }));
    BOOST_LEAF_ASSIGN(made->deployment,
                      configuration::deployment::parse(configuration::deployment::default_text(),
                                                       "default configuration"));
    made->dispatcher.set_classes(made->deployment.class_list());
    made->renew_soft_state();
    return made;
}

front::front(parameters arguments)
    : params(std::move(arguments)),
      directory(params.settings.place),
      dispatcher(params.settings.place, {}, params.seed),
      keys(params.settings.instance, params.incarnation, params.settings.entry->key_time,
           params.peers,
           [this](const service_request& request, time_point born,
                  std::unique_ptr<answer_sink> sink) {
               this->run_service(request, born, std::move(sink));
           }),
      context{client, [this](const requests::message& incoming) { this->notify(incoming); }},
      timers([this] {
          this->armed_for = time_point::max();
          this->notify(requests::timer_expired{});
      }),
      soft_state([this] { this->renew_soft_state(); }),
      cleanup_timer([this] { this->retired.clear(); }) {}

front::~front() = default;

void front::handle(front_message incoming) {
    std::visit([this](auto& alternative) { this->on(alternative); }, incoming);
}

void front::notify(const requests::message& incoming) {
    this->execute(this->dispatcher.handle(incoming, this->params.time->now()));
    if (const auto* left = std::get_if<requests::caller_disconnected>(&incoming)) {
        this->metrics.count("callers_left_total");
        if (this->dispatcher.has_request(left->request)) {
            return;
        }
        if (any_call* left_behind = this->find(left->request)) {
            std::visit([](auto& one) { one->abandon(); }, *left_behind);
        }
        this->retire(left->request);
    }
    this->arm_wakeup();
}

void front::execute(const requests::actions& wanted) {
    for (const requests::action& one : wanted) {
        std::visit([this](const auto& alternative) { this->execute(alternative); }, one);
    }
}

void front::execute(const requests::send_attempt& sent) {
    spdlog::info("route request={} attempt={} cause={} resume_after={} {}", sent.request.value(),
                 sent.attempt.value(), requests::to_string(sent.cause), sent.resume_after.count(),
                 sent.choice.explain());
    this->metrics.count(std::string("attempts_total{cause=\"") + requests::to_string(sent.cause) +
                        "\"}");
    this->attempts.emplace(sent.attempt, sent.request);
    const membership::target_record* known = this->directory.find(sent.target);
    if (known == nullptr) {
        // It was taken out of the directory a moment ago.
        this->notify(
            requests::attempt_failed{sent.attempt, requests::attempt_failure::unreachable});
        return;
    }
    const membership::target_record target = *known;
    std::visit([&](auto& one) { one->start_attempt(sent, target); }, *this->find(sent.request));
}

void front::execute(const requests::adopt_attempt& adopted) {
    std::visit([&](auto& one) { one->adopt(adopted.attempt); }, *this->find(adopted.request));
}

void front::execute(const requests::cancel_attempt& cancelled) {
    const auto found = this->attempts.find(cancelled.attempt);
    if (found == this->attempts.end()) {
        return;
    }
    if (any_call* owner = this->find(found->second)) {
        std::visit([&](auto& one) { one->cancel(cancelled.attempt); }, *owner);
    }
    this->attempts.erase(found);
}

void front::execute(const requests::complete_request& completed) {
    any_call* owner = this->find(completed.request);
    this->metrics.count("requests_total{outcome=\"answered\"}");
    this->metrics.observe("request_seconds",
                          this->params.time->now() - this->started.at(completed.request));
    std::visit([](auto& one) { one->complete(); }, *owner);
    this->retire(completed.request);
}

void front::execute(const requests::refuse_request& refused) {
    spdlog::warn("refuse request={} outcome={} reason={}", refused.request.value(),
                 requests::to_string(refused.outcome), requests::to_string(refused.reason));
    this->metrics.count(std::string("requests_total{outcome=\"") +
                        requests::to_string(refused.outcome) + "\"}");
    problem refusal;
    refusal.status = status_of(refused);
    refusal.outcome = refused.outcome;
    refusal.reason = requests::to_string(refused.reason);
    refusal.retry_after = refused.retry_after;
    std::visit([&](auto& one) { one->refuse(refusal); }, *this->find(refused.request));
    if (!this->dispatcher.has_request(refused.request)) {
        this->retire(refused.request);
    }
}

front::any_call* front::find(request_id request) {
    const auto found = this->calls.find(request);
    return found == this->calls.end() ? nullptr : &found->second;
}

void front::retire(request_id request) {
    const auto found = this->calls.find(request);
    if (found == this->calls.end()) {
        return;
    }
    this->retired.push_back(std::move(found->second));
    this->calls.erase(found);
    this->started.erase(request);
    std::erase_if(this->attempts, [&](const auto& item) { return item.second == request; });
    this->cleanup_timer.arm_now();
    this->check_drained();
}

void front::apply(const membership::directory_change& change) {
    if (change.is_news()) {
        spdlog::info("target {} event={} backend={} address={} leaving={}",
                     change.record.id.value(), membership::to_string(change.event),
                     change.record.backend.value(), change.record.address.to_string(),
                     change.record.leaving);
    }
    this->execute(this->dispatcher.update_target(change, this->params.time->now()));
    this->arm_wakeup();
}

void front::on(const target_update_received& learnt) {
    const duration lease = this->params.settings.entry->target_lease;
    this->apply(this->directory.learn(learnt.record, lease, this->params.time->now()));
}

void front::on(const target_heartbeats_received& heard) {
    const time_point now = this->params.time->now();
    for (const membership::target_load& load : heard.targets) {
        this->directory.renew(load.id, this->params.settings.entry->target_lease, now);
        this->dispatcher.record_load(load);
    }
}

void front::on(const configuration_accepted& accepted) {
    this->take_configuration(accepted.version, accepted.text);
}

void front::take_configuration(configuration_version version, const std::string& text) {
    if (version <= this->in_force) {
        return;
    }
    auto parsed = value_or_error(
        [&] { return configuration::deployment::parse(text, "accepted configuration"); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        spdlog::error("configuration version={} cannot be taken in force: {}", version.value(),
                      problem->message);
        return;
    }
    this->deployment = std::move(std::get<configuration::deployment>(parsed));
    this->dispatcher.set_classes(this->deployment.class_list());
    this->in_force = version;
    spdlog::info("configuration in force version={}", version.value());
    static_cast<void>(this->params.peers.post(report_in_force{version, text}));
}

void front::on(const domain_size_changed& changed) {
    this->dispatcher.set_instances(changed.instances);
}

void front::on(const peer_joined& /*joined*/) {
    for (const membership::target_record& record : this->directory.records()) {
        if (record.place == this->params.settings.place) {
            static_cast<void>(this->params.peers.post(share_target{record}));
        }
    }
}

void front::on(peer_call_arrived& arrived) {
    wire::forward_call_request& call = arrived.call;
    auto sink = std::make_unique<peer_sink>(arrived.origin, call.call, this->params.peers);
    if (call.incarnation != this->params.incarnation) {
        sink->refuse(home_lost());
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

void front::on(peer_call_ended& ended) {
    this->keys.call_ended(std::move(ended.answer));
}

void front::on(const claim_ended& ended) {
    this->keys.claim_ended(ended, this->params.time->now());
}

void front::on(stop_request& asked) {
    this->drained = std::move(asked.drained);
    this->dispatcher.begin_stop();
    this->server->begin_stop([this] { this->check_drained(); });
}

void front::on(const admin::report_request& asked) {
    this->metrics.set("open_requests", static_cast<double>(this->dispatcher.open_requests()));
    this->metrics.set("queued_requests", static_cast<double>(this->dispatcher.queued_requests()));
    this->metrics.set("targets", static_cast<double>(this->directory.size()));
    this->metrics.set("configuration_version", static_cast<double>(this->in_force.value()));
    admin::report said;
    said.part = "entry";
    said.status = this->print_status();
    said.metrics = this->metrics.exposition();
    // A balancer sends callers here only once the accepted configuration is in force.
    const bool has_configuration =
        this->params.settings.entry->keepers.empty() || this->in_force > configuration_version(0);
    said.is_ready = !this->drained && has_configuration;
    static_cast<void>(asked.reply.post(std::move(said)));
}

void front::renew_soft_state() {
    const time_point now = this->params.time->now();
    for (const auto& change : this->directory.expire(now)) {
        this->apply(change);
        this->loads.erase(change.record.id);
        static_cast<void>(this->params.peers.post(share_target{change.record}));
    }
    send_target_heartbeats vouched;
    for (const target_id& target : this->directory.locally_announced()) {
        vouched.targets.push_back(this->loads[target]);
    }
    static_cast<void>(this->params.peers.post(std::move(vouched)));
    this->soft_state.arm(now + this->params.settings.entry->target_lease / renewals_per_lease);
}

void front::arm_wakeup() {
    const auto next = this->dispatcher.next_wakeup();
    // Arming wakes the loop once more, so it is done for earlier moments only.
    if (next && *next < this->armed_for) {
        this->armed_for = *next;
        this->timers.arm(*next);
    }
}

void front::check_drained() {
    if (this->drained && this->calls.empty() && this->server->is_idle()) {
        this->drained();
    }
}

std::string front::print_status() const {
    nlohmann::ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["failure_domain"] = this->params.settings.place.domain.value();
    status["region"] = this->params.settings.place.region.value();
    status["configuration_version"] = this->in_force.value();
    status["stopping"] = static_cast<bool>(this->drained);
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
