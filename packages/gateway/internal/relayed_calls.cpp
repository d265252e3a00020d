#include "gateway/internal/relayed_calls.h"

#include "base/request_fingerprint.h"
#include "gateway/internal/refusals.h"
#include "gateway/internal/route_checks.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace kingcupcart::gateway {

namespace {

std::string_view without_query(std::string_view path) {
    return path.substr(0, path.find('?'));
}

} // namespace

outcome<std::unique_ptr<relayed_calls>> relayed_calls::open(parameters arguments) {
    std::unique_ptr<relayed_calls> created(new relayed_calls(std::move(arguments)));
    relayed_calls* calls = created.get();
    relaying::relay_server::parameters server_arguments;
    server_arguments.address = calls->params.address;
    server_arguments.time = calls->params.time;
    server_arguments.make_hello = calls->params.make_hello;
    server_arguments.metrics = calls->params.metrics;
    server_arguments.on_call = [calls](wire::relayed_call_request request,
                                       const exchange_pointer& exchange) {
        calls->handle(std::move(request), exchange);
    };
    server_arguments.on_idle = calls->params.on_idle;
    server_arguments.max_calls = calls->params.max_calls;
    server_arguments.budget = calls->params.budget;
    BOOST_LEAF_ASSIGN(created->server, relaying::relay_server::open(std::move(server_arguments)));
    return created;
}

relayed_calls::relayed_calls(parameters arguments) : params(std::move(arguments)) {}

relayed_calls::~relayed_calls() = default;

const endpoint& relayed_calls::address() const {
    return this->server->address();
}

void relayed_calls::begin_stop() {
    this->server->begin_stop();
}

std::size_t relayed_calls::open_count() const {
    return this->server->open_count();
}

void relayed_calls::handle(wire::relayed_call_request request, const exchange_pointer& exchange) {
    spdlog::info("relayed call received request={} from={} backend={} software={} resume_after={} "
                 "max_wait_ms={}",
                 request.name, exchange->origin().value(), request.backend.value(),
                 request.software ? request.software->value() : "", request.resume_after,
                 request.max_wait.count());
    const auto table = this->params.fleet->routes();
    const routes::route* route =
        table == nullptr ? nullptr : table->find(request.host, without_query(request.path));
    if (route == nullptr || route->kind == routes::route_kind::batch) {
        this->decline(request, *exchange, "no route");
    } else if (!request.software && is_take_up(*route, request.resume_after, request.resumes)) {
        // The gateway that received it has looked up where the stream began.
        this->decline(request, *exchange, "the stream's software version is not named");
    } else if (request.software && !is_served_by(*route, request.backend)) {
        this->decline(request, *exchange, "the stream's service no longer serves the route");
    } else {
        this->forward(std::move(request), exchange, *route);
    }
}

void relayed_calls::forward(wire::relayed_call_request request, const exchange_pointer& exchange,
                            const routes::route& route) {
    forwarding::call_parameters forwarded;
    forwarded.name = request.name;
    forwarded.notify = this->respond_to(exchange, request, route.timeout);
    forwarded.request.method = std::move(request.method);
    forwarded.request.path = std::move(request.path);
    forwarded.request.headers = std::move(request.headers);
    forwarded.request.account = request.account;
    if (!this->params.fleet->routes()->accounts.is_empty()) {
        // The sender may be of a build without accounts, which passes keys on.
        this->params.name_account(forwarded.request.headers, request.account);
    }
    forwarded.request.body = std::move(request.body);
    forwarded.request.resume_after = request.resume_after;
    forwarded.max_wait = request.max_wait;
    forwarded.fingerprint =
        make_fingerprint({forwarded.request.method, route.name.value(), request.host,
                          forwarded.request.path, forwarded.request.body});
    if (request.software) {
        forwarded.origin = forwarding::stream_origin{request.backend, *request.software};
    } else if (is_served_by(route, request.backend)) {
        forwarded.service = request.backend;
    }
    forwarded.max_attempts = request.max_attempts;
    forwarded.is_relayed = true;
    const request_id started = this->params.forwarder->start(route, std::move(forwarded));
    exchange->on_cancel([this, started] {
        this->count("cancelled");
        this->params.forwarder->cancel(started);
    });
    exchange->on_sent([this, started] { this->params.forwarder->stream_sent(started); });
}

void relayed_calls::decline(const wire::relayed_call_request& request,
                            relaying::relayed_exchange& exchange, const char* reason) {
    spdlog::info("relayed call refused request={} from={} may_have_run=false reason=\"{}\"",
                 request.name, exchange.origin().value(), reason);
    this->count("not-run");
    exchange.decline(reason, duration::zero());
}

forwarding::response_callbacks relayed_calls::respond_to(const exchange_pointer& exchange,
                                                         const wire::relayed_call_request& request,
                                                         duration timeout) {
    forwarding::response_callbacks callbacks;
    callbacks.on_stream_bound = [this,
                                 stream = request.resumes.value().empty()
                                              ? streams::stream_id(request.name)
                                              : request.resumes,
                                 timeout](const std::optional<forwarding::stream_origin>& origin) {
        if (origin) {
            this->params.fleet->streams().record(stream, origin->backend, origin->software,
                                                 timeout);
        } else {
            this->params.fleet->streams().withdraw(stream, timeout);
        }
    };
    callbacks.on_response = [this, exchange](const http::response_head& head,
                                             std::string_view body) {
        this->count("answered");
        exchange->respond(head, body);
    };
    callbacks.on_stream_started = [exchange](const http::response_head& head) {
        exchange->begin_stream(head);
    };
    callbacks.on_stream_data = [exchange](std::string_view data) { exchange->write(data); };
    callbacks.unsent_bytes = [exchange] { return exchange->unsent_bytes(); };
    callbacks.on_stream_ended = [this, exchange] {
        this->count("answered");
        exchange->end_stream();
    };
    callbacks.on_failure =
        [this, exchange, name = request.name,
         is_bound = request.software.has_value()](const forwarding::call_failure& failure) {
            const bool may_have_run = failure.outcome != requests::outcome_kind::not_run;
            const std::string reason = requests::to_string(failure.reason);
            spdlog::info("relayed call refused request={} from={} may_have_run={} reason=\"{}\" "
                         "retry_after_ms={}",
                         name, exchange->origin().value(), may_have_run, reason,
                         failure.retry_after / std::chrono::milliseconds(1));
            this->count(requests::to_string(failure.outcome));
            // That a stream's version has no target left says nothing of other calls.
            const bool concerns_call =
                requests::concerns_request(failure.reason) ||
                (is_bound && failure.reason == requests::refusal_reason::no_target);
            if (!may_have_run && concerns_call) {
                exchange->decline(reason, failure.retry_after);
            } else {
                exchange->refuse(may_have_run, reason, failure.retry_after);
            }
        };
    return callbacks;
}

void relayed_calls::count(const char* outcome) {
    this->params.metrics->count(std::string("relayed_calls_received_total{outcome=\"") + outcome +
                                "\"}");
}

} // namespace kingcupcart::gateway
