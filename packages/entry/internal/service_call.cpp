#include "entry/internal/service_call.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace kingcupcart::entry {

namespace {

/// Limit of the buffered body of one attempt.
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

} // namespace

service_call::service_call(request_id id, service_request request, call_context& context,
                           std::function<void(const requests::recorded_response&)> on_complete)
    : id(id), request(std::move(request)), context(context), on_complete(std::move(on_complete)) {}

service_call::~service_call() = default;

void service_call::add_sink(std::unique_ptr<response_sink> sink) {
    sink->on_disconnect([this, disconnected = sink.get()] {
        std::erase_if(this->sinks, [disconnected](const auto& waiting) {
            return waiting.get() == disconnected;
        });
        this->check_disconnected();
    });
    this->sinks.push_back(std::move(sink));
}

void service_call::check_disconnected() {
    if (this->sinks.empty()) {
        this->context.dispatch(requests::caller_disconnected{this->id});
    }
}

void service_call::start_attempt(const requests::send_attempt& action,
                                 const membership::target_record& target) {
    const attempt_id attempt = action.attempt;
    http::request target_request;
    target_request.method = this->request.method;
    target_request.url = "http://" + target.address.to_string() + this->request.path;
    target_request.headers = this->request.headers;
    target_request.body = this->request.body;
    target_request.repeatable = this->request.repeatable;
    auto created = std::make_unique<attempt_response>();
    attempt_response& inserted = *created;
    this->attempts.emplace(attempt, std::move(created));
    inserted.call = this->context.client.start(
        target_request,
        {[this, attempt] { this->context.dispatch(requests::attempt_write_started{attempt}); },
         [this, attempt](const http::response_head& head) {
             this->attempts.at(attempt)->head = head;
         },
         [this, attempt](std::string_view data) {
             attempt_response& partial = *this->attempts.at(attempt);
             partial.body += data;
             if (partial.body.size() > max_response_bytes) {
                 this->handle_call_end(attempt, http::call_result::broken);
             }
         },
         [this, attempt](http::call_result result, const std::string& reason) {
             if (result != http::call_result::complete) {
                 spdlog::warn("attempt failed request={} attempt={} error=\"{}\"", this->id.value(),
                              attempt.value(), reason);
             }
             this->handle_call_end(attempt, result);
         }});
}

void service_call::handle_call_end(attempt_id attempt, http::call_result result) {
    if (!this->attempts.contains(attempt)) {
        return;
    }
    if (result == http::call_result::complete) {
        this->context.dispatch(requests::attempt_completed{attempt});
        return;
    }
    this->cancel(attempt);
    const auto failure = result == http::call_result::unreachable
                             ? requests::attempt_failure::unreachable
                             : requests::attempt_failure::broken;
    this->context.dispatch(requests::attempt_failed{attempt, failure});
}

void service_call::select(attempt_id attempt) {
    this->selected_attempt = attempt;
}

void service_call::cancel(attempt_id attempt) {
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    found->second->call.reset();
    this->pending_deletion.push_back(std::move(found->second));
    this->attempts.erase(found);
}

void service_call::complete() {
    attempt_response& received = *this->attempts.at(*this->selected_attempt);
    requests::recorded_response response;
    response.outcome = requests::outcome_kind::answered;
    response.status = received.head.status;
    response.headers = end_to_end_headers(received.head.headers);
    response.body = std::move(received.body);
    this->on_complete(response);
    for (const auto& sink : std::exchange(this->sinks, {})) {
        sink->send(response);
    }
}

void service_call::abandon() {
    requests::recorded_response response;
    response.outcome = requests::outcome_kind::not_run;
    this->on_complete(response);
}

void service_call::refuse(const problem& refusal) {
    requests::recorded_response response;
    response.outcome = refusal.outcome;
    response.reason = refusal.reason;
    response.status = refusal.status;
    this->on_complete(response);
    for (const auto& sink : std::exchange(this->sinks, {})) {
        sink->refuse(refusal);
    }
}

} // namespace kingcupcart::entry
