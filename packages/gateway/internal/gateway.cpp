#include "gateway/internal/gateway.h"

#include "gateway/internal/refusals.h"
#include "gateway/internal/route_checks.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::gateway {

namespace {

/// Upper limit of the time that a submission waits for a store: the time that callers wait.
constexpr duration submission_max_wait = std::chrono::milliseconds(2500);

} // namespace

outcome<std::unique_ptr<gateway>> gateway::open(parameters arguments) {
    std::unique_ptr<gateway> created(new gateway(std::move(arguments)));
    created->open_fleet();
    created->open_usage();
    created->open_forwarder();
    BOOST_LEAF_CHECK(created->open_servers());
    return created;
}

gateway::gateway(parameters arguments)
    : params(std::move(arguments)),
      responses(
          std::make_shared<http::response_budget>(this->params.settings.responses.budget_bytes)),
      caller_memory(std::make_shared<http::caller_budget>(
          *this->params.time, this->params.settings.responses.budget_bytes)) {}

gateway::~gateway() {
    // Calls that end with the members below no longer lead to a drained gateway.
    this->on_drained = nullptr;
}

wire::hello gateway::make_hello() const {
    wire::hello hello;
    hello.instance = this->params.settings.instance;
    hello.incarnation = this->params.incarnation;
    hello.place = this->params.settings.place;
    hello.role = wire::instance_role::gateway;
    hello.revision = wire::protocol_revision;
    if (const auto& address = this->params.settings.gateway->address) {
        hello.address = *address;
    }
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

void gateway::on(const stop_announced& announced) {
    this->is_stopping = true;
    this->forwarder->announce_stop(announced.deadline);
    this->callers_server->close_connections();
}

void gateway::on(stop_started& started) {
    this->is_stopping = true;
    this->is_draining = true;
    spdlog::info("refusing new requests open_requests={} open_batch_calls={} open_relayed_calls={}",
                 this->forwarder->open_count(), this->stores->open_count(),
                 this->open_relayed_count());
    this->on_drained = std::move(started.on_drained);
    this->forwarder->begin_stop(started.deadline);
    this->callers_server->begin_stop([this] { this->check_drained(); });
    if (this->calls_of_others) {
        this->calls_of_others->begin_stop();
    }
    this->check_drained();
}

void gateway::check_drained() {
    if (!this->on_drained) {
        return;
    }
    const bool is_idle = this->forwarder->open_count() == 0 && this->stores->open_count() == 0 &&
                         this->resumptions->open_count() == 0 && this->callers_server->is_idle() &&
                         this->open_relayed_count() == 0;
    if (!is_idle) {
        return;
    }
    // A request that arrives from now on is not read, so its caller knows that it did not run.
    this->callers_server->close();
    // Called once only: the object that the callback refers to may no longer exist when the
    // servers close.
    const auto callback = std::exchange(this->on_drained, nullptr);
    callback();
}

std::size_t gateway::open_relayed_count() const {
    return this->calls_of_others ? this->calls_of_others->open_count() : 0;
}

void gateway::check_head(http::exchange& head) {
    const auto table = this->fleet->routes();
    if (this->is_draining || table == nullptr || table->accounts.is_empty()) {
        return;
    }
    const caller_call call = this->params.callers.parse_call(head);
    if (const auto* routed = std::get_if<routed_call>(&call)) {
        const routes::route* route = table->find(routed->host, routed->path);
        if (route != nullptr) {
            this->admit(head, routed->request_name, table->authorize(*route, routed->credentials));
        }
        return;
    }
    std::visit(
        [&](const auto& job_call) {
            if constexpr (requires { job_call.job; }) {
                this->admit(
                    head, "",
                    table->accounts.authorize(accounts::key_rule::required, job_call.credentials));
            }
        },
        call);
}

void gateway::handle_request(std::unique_ptr<http::exchange> exchange) {
    const caller_call call = this->params.callers.parse_call(*exchange);
    if (std::holds_alternative<readiness_call>(call)) {
        this->params.callers.send_readiness(*exchange, this->is_ready());
    } else if (this->is_draining) {
        // Connections that were kept open stay with this instance until it closes them.
        const auto* routed = std::get_if<routed_call>(&call);
        this->responder->refuse(
            *exchange, routed == nullptr ? "" : routed->request_name,
            {refusal_kind::not_run, "this gateway is stopping", retry_after_default});
    } else if (const auto* routed = std::get_if<routed_call>(&call)) {
        this->handle_routed_call(std::move(exchange), *routed);
    } else if (const auto* results = std::get_if<read_results_call>(&call)) {
        this->handle_job_call(std::move(exchange), *results);
    } else if (const auto* body = std::get_if<item_body_call>(&call)) {
        this->handle_job_call(std::move(exchange), *body);
    } else if (const auto* end_job = std::get_if<end_job_call>(&call)) {
        this->handle_job_call(std::move(exchange), *end_job);
    } else {
        this->responder->refuse(
            *exchange, "", {refusal_kind::malformed, std::get<malformed_call>(call).reason, {}});
    }
}

std::optional<account_name> gateway::admit(http::exchange& exchange,
                                           const std::string& request_name,
                                           const accounts::authorization& decision) {
    const bool has_key = decision.result == accounts::access::granted ||
                         (decision.result == accounts::access::denied &&
                          decision.reason == accounts::denial_reason::unknown_key);
    if (has_key && !this->may_use_keys()) {
        this->responder->refuse(exchange, request_name,
                                {refusal_kind::not_run,
                                 "no keeper was reached, keys may have been revoked",
                                 retry_after_default});
        return std::nullopt;
    }
    if (decision.result != accounts::access::denied) {
        return decision.account;
    }
    const std::string reason = accounts::to_string(decision.reason);
    this->metrics.count("requests_unauthorized_total{reason=\"" + reason + "\"}");
    this->responder->refuse(exchange, request_name, {refusal_kind::unauthorized, reason, {}});
    return std::nullopt;
}

bool gateway::may_use_keys() const {
    const auto& limits = this->params.settings.gateway->revocation;
    return !limits.is_fail_closed ||
           limits.permits_keys(this->params.time->now() - this->fleet->last_contact_at());
}

template <typename Call>
void gateway::handle_job_call(std::unique_ptr<http::exchange> exchange, const Call& call) {
    const auto table = this->fleet->routes();
    if (table == nullptr) {
        this->refuse_without_routes(*exchange, "");
        return;
    }
    const auto account = this->admit(
        *exchange, "", table->accounts.authorize(accounts::key_rule::required, call.credentials));
    if (account) {
        this->stores->start(std::move(exchange), call, *account);
    }
}

void gateway::refuse_without_routes(http::exchange& exchange, const std::string& request_name) {
    this->responder->refuse(exchange, request_name,
                            {refusal_kind::not_run, "this gateway has not received any routes yet",
                             retry_after_default});
}

void gateway::handle_routed_call(std::unique_ptr<http::exchange> exchange,
                                 const routed_call& call) {
    const auto table = this->fleet->routes();
    if (table == nullptr) {
        this->refuse_without_routes(*exchange, call.request_name);
        return;
    }
    const routes::route* route = table->find(call.host, call.path);
    if (route == nullptr) {
        this->responder->refuse(
            *exchange, call.request_name,
            {refusal_kind::no_route, "no route matches " + call.host + call.path, {}});
        return;
    }
    const auto account =
        this->admit(*exchange, call.request_name, table->authorize(*route, call.credentials));
    if (!account) {
        return;
    }
    if (route->kind == routes::route_kind::batch) {
        this->submit_job(std::move(exchange), call, *route, *account);
    } else if (is_take_up(*route, call.resume_after, call.resumes)) {
        this->take_up(std::move(exchange), call, *route);
    } else {
        this->forward(std::move(exchange), call, *route, *account);
    }
}

void gateway::submit_job(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                         const routes::route& route, const account_name& account) {
    auto parsed =
        value_or_error([&] { return this->params.callers.parse_job(*exchange, call, route); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        this->responder->refuse(*exchange, call.request_name,
                                {refusal_kind::malformed, problem->message, {}});
        return;
    }
    const duration max_wait =
        std::min(call.max_wait.value_or(submission_max_wait), submission_max_wait);
    auto& job = std::get<batch::job>(parsed);
    job.account = account;
    if (!account.value().empty()) {
        // Stored with the items, so that every store names the account, also one of an earlier
        // build.
        for (batch::job_item& item : job.items) {
            this->params.targets.name_account(item.headers, account);
        }
    }
    this->stores->submit(std::move(exchange), std::move(job), max_wait);
}

void gateway::forward(std::unique_ptr<http::exchange> received, const routed_call& call,
                      const routes::route& route, const account_name& account,
                      const std::optional<forwarding::stream_origin>& origin) {
    const std::shared_ptr<http::exchange> exchange = std::move(received);
    forwarding::call_parameters forwarded;
    forwarded.name = call.request_name;
    forwarded.host = call.host;
    forwarded.request.method = exchange->method();
    forwarded.request.path = exchange->path();
    forwarded.request.headers = exchange->headers();
    forwarded.request.account = account;
    if (!this->fleet->routes()->accounts.is_empty()) {
        this->params.targets.name_account(forwarded.request.headers, account);
    }
    forwarded.request.body = exchange->body();
    forwarded.request.resume_after = call.resume_after;
    forwarded.max_wait = call.max_wait.value_or(route.timeout);
    forwarded.fingerprint =
        make_fingerprint({forwarded.request.method, route.name.value(), call.host,
                          forwarded.request.path, forwarded.request.body});
    forwarded.origin = origin;
    forwarded.resumes = call.resumes;
    forwarded.prompt = call.prompt;
    forwarded.may_relay = true;
    forwarded.notify = this->responder->respond_to(exchange, call, route.timeout);
    const request_id request = this->forwarder->start(route, std::move(forwarded));
    exchange->on_disconnect([this, request] { this->forwarder->cancel(request); });
    exchange->on_sent([this, request] { this->forwarder->stream_sent(request); });
}

void gateway::take_up(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                      const routes::route& route) {
    if (call.resumes.value().empty()) {
        this->responder->refuse_take_up(
            *exchange, call, "unnamed",
            {refusal_kind::not_run, "the request does not name the stream that it continues", {}});
        return;
    }
    this->resumptions->start(std::move(exchange), call, call.max_wait.value_or(route.timeout));
}

void gateway::continue_take_up(std::unique_ptr<http::exchange> exchange, const routed_call& call,
                               const streams::lookup_result& result) {
    if (result.outcome != streams::lookup_outcome::found) {
        this->responder->refuse_take_up(*exchange, call, streams::to_string(result.outcome),
                                        make_refusal(result.outcome));
        return;
    }
    const streams::stream_record& record = *result.record;
    const forwarding::stream_origin origin{record.backend, *record.software};
    // The routes may have changed during the lookup.
    const auto table = this->fleet->routes();
    const routes::route* route = table->find(call.host, call.path);
    if (route == nullptr || !is_take_up(*route, call.resume_after, call.resumes) ||
        !is_served_by(*route, origin.backend)) {
        this->responder->refuse_take_up(
            *exchange, call, "not-routed",
            {refusal_kind::not_run,
             "the service that began the stream no longer serves the route",
             {}});
        return;
    }
    const auto account =
        this->admit(*exchange, call.request_name, table->authorize(*route, call.credentials));
    if (!account) {
        return;
    }
    spdlog::info("stream taken up request={} stream={} after={} backend={} software={} age_ms={} "
                 "source={}",
                 call.request_name, call.resumes.value(), call.resume_after, origin.backend.value(),
                 origin.software.value(), record.age.count(), result.source.value());
    this->metrics.count("stream_take_ups_total{outcome=\"bound\"}");
    this->forward(std::move(exchange), call, *route, *account, origin);
}

void gateway::on(const admin::report_request& request) {
    nlohmann::ordered_json status;
    status["instance"] = this->params.settings.instance.value();
    status["routes_version"] =
        this->fleet->routes() == nullptr ? 0 : this->fleet->routes()->version.value();
    status["keepers_reached"] = this->fleet->open_link_count();
    status["leading_store"] = this->stores->has_leader();
    status["targets"] = this->fleet->targets().size();
    status["open_requests"] = this->forwarder->open_count();
    status["open_batch_calls"] = this->stores->open_count();
    status["open_take_ups"] = this->resumptions->open_count();
    status["open_relayed_calls"] = this->open_relayed_count();
    status["open_calls_at_relays"] = this->relays->open_count();
    this->metrics.set("gateway_open_requests", static_cast<double>(this->forwarder->open_count()));
    this->metrics.set("gateway_targets", static_cast<double>(this->fleet->targets().size()));
    this->fleet->limits().export_metrics(this->metrics);
    this->responses->export_metrics(this->metrics);
    this->caller_memory->export_metrics(this->metrics);
    this->fleet->crashes().export_metrics(this->metrics);
    this->fleet->streams().export_metrics(this->metrics);
    if (this->usage) {
        this->usage->export_metrics(this->metrics);
    }
    admin::report report;
    report.component = "gateway";
    report.status = status.dump() + "\n";
    report.metrics = this->metrics.exposition();
    report.is_ready = this->is_ready();
    request.reply.post(std::move(report));
}

} // namespace kingcupcart::gateway
