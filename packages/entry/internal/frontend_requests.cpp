#include "base/clock.h"
#include "entry/internal/announcement.h"
#include "entry/internal/exchange_sink.h"
#include "entry/internal/frontend.h"
#include "http/exchange.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

/// The part of the frontend that handles HTTP requests of callers and announcements of targets.
namespace kingcupcart::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unprocessable = 422;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr const char* services_prefix = "/services/";

void refuse_request(http::exchange& exchange, int status, const std::string& reason,
                    const std::string& detail) {
    problem refusal;
    refusal.status = status;
    refusal.reason = reason;
    refusal.detail = detail;
    exchange.add_header(outcome_header, requests::to_string(refusal.outcome));
    exchange.respond(status, problem_type, refusal.to_json());
}

/// The two parts of `/services/NAME/rest`.
struct service_path {
    std::string name;
    std::string rest;
};

service_path split_service_path(const std::string& path) {
    const std::string name_and_rest = path.substr(std::string(services_prefix).size());
    const auto end = name_and_rest.find_first_of("/?");
    if (end == std::string::npos) {
        return {name_and_rest, "/"};
    }
    const std::string rest = name_and_rest.substr(end);
    return {name_and_rest.substr(0, end), rest.front() == '?' ? "/" + rest : rest};
}

} // namespace

void frontend::handle_request(std::unique_ptr<http::exchange> exchange) {
    const std::string path = exchange->path_without_query();
    const std::string method = exchange->method();
    if (path.starts_with(services_prefix)) {
        this->handle_service_request(std::move(exchange));
    } else if (method == "POST" && path == "/v1/completions") {
        this->handle_completion(std::move(exchange), completions::completion_form::text);
    } else if (method == "POST" && path == "/v1/chat/completions") {
        this->handle_completion(std::move(exchange), completions::completion_form::chat);
    } else if (method == "POST" && path == "/v1/idempotency-keys") {
        this->issue_key(*exchange);
    } else if (method == "POST" && path == "/targets/announce") {
        this->handle_announcement(*exchange);
    } else {
        refuse_request(*exchange, status_not_found, "no-such-path", method + " " + path);
    }
}

void frontend::handle_announcement(http::exchange& exchange) {
    const auto parsed = value_or_error(
        [&] { return parse_announcement(exchange.body(), this->params.settings.place); });
    if (const auto* failure = std::get_if<error>(&parsed)) {
        spdlog::warn("announcement refused from={} error=\"{}\"", exchange.remote_address(),
                     failure->message);
        refuse_request(exchange, status_bad_request, "bad-announcement", failure->message);
        return;
    }
    const auto& received = std::get<announcement>(parsed);
    const time_point now = this->params.time->now();
    const duration lease = this->params.settings.entry->target_lease;
    const auto change = this->directory.announce(received.record, lease, now);
    this->loads.insert_or_assign(received.record.id, received.load);
    this->apply(change);
    this->dispatcher.record_load(received.load);
    if (!received.cached.empty()) {
        this->dispatcher.record_cached(received.record.id, received.cached, now);
    }
    if (change.is_record_change()) {
        static_cast<void>(this->params.peers.post(broadcast_target{change.record}));
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lease);
    exchange.respond(status_ok, json_type,
                     nlohmann::json{{"lease_ms", milliseconds.count()}}.dump());
}

void frontend::issue_key(http::exchange& exchange) {
    const auto key = this->keys.registry().issue(this->params.time->now());
    const auto lifetime =
        std::chrono::duration_cast<std::chrono::seconds>(this->params.settings.entry->key_lifetime);
    exchange.respond(status_ok, json_type,
                     nlohmann::json{{"key", key.to_idempotency_key().value()},
                                    {"lifetime_seconds", lifetime.count()}}
                         .dump());
}

void frontend::handle_completion(std::unique_ptr<http::exchange> exchange,
                                 completions::completion_form form) {
    auto parsed =
        value_or_error([&] { return completions::parse_request(exchange->body(), form); });
    if (const auto* failure = std::get_if<error>(&parsed)) {
        refuse_request(*exchange, status_bad_request, "bad-request", failure->message);
        return;
    }
    auto& request = std::get<completions::completion_request>(parsed);
    const auto* model = this->deployment.find_model(request.model);
    if (model == nullptr) {
        refuse_request(*exchange, status_not_found, "no-such-model",
                       "'" + request.model.value() + "' is not in the configuration");
        return;
    }
    requests::request_profile profile;
    profile.id = this->next_request_id();
    profile.caller = caller_id(exchange->header(caller_header));
    if (profile.caller.value().empty()) {
        profile.caller = caller_id(exchange->remote_address());
    }
    profile.backend = request.model;
    profile.work_class = this->work_class_of(*exchange, model->default_class);
    profile.repeatable = true;
    profile.resumable = true;
    profile.prefix = request.prefix;
    this->calls.emplace(profile.id,
                        std::make_unique<engine_call>(profile.id, std::move(request),
                                                      std::move(exchange), this->context));
    this->start_times.emplace(profile.id, this->params.time->now());
    this->dispatch(requests::request_arrived{profile});
}

void frontend::handle_service_request(std::unique_ptr<http::exchange> exchange) {
    const service_path path = split_service_path(exchange->path());
    service_request request;
    request.service = backend_name(path.name);
    const auto* service = this->deployment.find_service(request.service);
    if (service == nullptr) {
        refuse_request(*exchange, status_not_found, "no-such-service",
                       "'" + path.name + "' is not in the configuration");
        return;
    }
    request.path = path.rest;
    request.method = exchange->method();
    request.caller = caller_id(exchange->header(caller_header));
    if (request.caller.value().empty()) {
        request.caller = caller_id(exchange->remote_address());
    }
    request.work_class = this->work_class_of(*exchange, service->default_class);
    request.headers = end_to_end_headers(exchange->headers());
    request.body = exchange->body();
    const auto& methods = service->repeatable_methods;
    request.repeatable = std::find(methods.begin(), methods.end(), request.method) != methods.end();
    request.key = idempotency_key(exchange->header(key_header));
    auto sink = std::make_unique<exchange_sink>(std::move(exchange));
    const time_point now = this->params.time->now();
    if (request.key.value().empty() || request.repeatable) {
        request.key = idempotency_key();
        this->run_service(request, now, std::move(sink));
        return;
    }
    this->keys.resolve(std::move(request), std::move(sink), now);
}

void frontend::run_service(const service_request& request, time_point key_created,
                           std::unique_ptr<response_sink> sink) {
    const request_id id = this->next_request_id();
    if (request.key.value().empty()) {
        this->start_service(request, id, std::move(sink));
        return;
    }
    const auto lookup = this->keys.registry().begin(request.key, request.fingerprint(), id,
                                                    key_created, this->params.time->now());
    problem refusal;
    switch (lookup.state) {
    case requests::key_state::started:
        this->start_service(request, id, std::move(sink));
        return;
    case requests::key_state::running:
        if (any_call* running = this->find(lookup.request)) {
            std::get<std::unique_ptr<service_call>>(*running)->add_sink(std::move(sink));
            return;
        }
        refusal.outcome = requests::outcome_kind::unknown;
        refusal.reason = "outcome-unknown";
        refusal.status = status_bad_gateway;
        break;
    case requests::key_state::finished:
        sink->send(*lookup.response);
        return;
    case requests::key_state::mismatched:
        refusal.reason = "key-used-for-another-request";
        refusal.status = status_unprocessable;
        break;
    case requests::key_state::expired:
        refusal.outcome = requests::outcome_kind::unknown;
        refusal.reason = "key-expired";
        refusal.status = status_bad_gateway;
        break;
    case requests::key_state::full:
        refusal.reason = "key-table-full";
        refusal.status = status_unavailable;
        break;
    }
    sink->refuse(refusal);
}

void frontend::start_service(const service_request& request, request_id id,
                             std::unique_ptr<response_sink> sink) {
    requests::request_profile profile;
    profile.id = id;
    profile.caller = request.caller;
    profile.backend = request.service;
    profile.work_class = request.work_class;
    profile.repeatable = request.repeatable;
    profile.continues_after_disconnect = !request.repeatable;
    const idempotency_key key = request.key;
    auto created = std::make_unique<service_call>(
        id, request, this->context, [this, key](const requests::recorded_response& response) {
            if (key.value().empty()) {
                return;
            }
            if (response.outcome == requests::outcome_kind::not_run) {
                this->keys.registry().release(key);
            } else {
                this->keys.registry().finish(key, response);
            }
        });
    created->add_sink(std::move(sink));
    this->calls.emplace(id, std::move(created));
    this->start_times.emplace(id, this->params.time->now());
    this->dispatch(requests::request_arrived{profile});
}

work_class_name frontend::work_class_of(const http::exchange& exchange,
                                        const work_class_name& fallback) const {
    const std::string requested = exchange.header(class_header);
    return requested.empty() ? fallback : work_class_name(requested);
}

request_id frontend::next_request_id() {
    this->last_request_id = request_id(this->last_request_id.value() + 1);
    return this->last_request_id;
}

} // namespace kingcupcart::entry
