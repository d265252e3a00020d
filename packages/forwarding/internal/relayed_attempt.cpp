#include "forwarding/internal/relayed_attempt.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <optional>
#include <utility>

namespace kingcupcart::forwarding {

/// Outlives the attempt while one of its callbacks runs.
class relayed_attempt::state : public std::enable_shared_from_this<state> {
public:
    explicit state(parameters arguments);

    void start();
    void cancel();
    void set_paused(bool is_paused);
    void set_held_bytes(std::size_t bytes);

private:
    void handle_sent();
    void handle_head(const http::response_head& head);
    void handle_data(std::string_view data);
    void end(relaying::relay_result result, const std::string& reason);
    void log_end(const char* outcome, const std::string& reason) const;

    parameters params;
    time_point started_at;
    /// Empty until the request was sent.
    instance_id relay;
    std::size_t held_bytes = 0;
    bool has_ended = false;
    std::optional<http::response_budget::share> budget_share;
    std::unique_ptr<relaying::relay_client::call> call;
};

relayed_attempt::state::state(parameters arguments)
    : params(std::move(arguments)), started_at(this->params.time->now()) {
    if (this->params.budget) {
        this->budget_share.emplace(this->params.budget, [this](const std::string& reason) {
            this->params.budget->count_cut();
            this->end(relaying::relay_result::broken, reason);
        });
    }
}

void relayed_attempt::state::start() {
    const auto self = this->shared_from_this();
    this->call = this->params.relays->start(
        this->params.request, this->params.passed_over,
        {[self] { self->handle_sent(); },
         [self](const http::response_head& head, bool /*is_stream*/) { self->handle_head(head); },
         [self](std::string_view data) { self->handle_data(data); },
         [self](relaying::relay_result result, const std::string& reason,
                duration /*retry_after*/) { self->end(result, reason); }});
    // The relay client has copied them.
    this->params.request.body = std::string();
    this->params.request.headers.clear();
}

void relayed_attempt::state::cancel() {
    if (!std::exchange(this->has_ended, true)) {
        this->log_end("cancelled", "");
    }
    if (this->budget_share) {
        this->budget_share->set(0);
    }
    this->call.reset();
}

void relayed_attempt::state::set_paused(bool is_paused) {
    if (!this->has_ended) {
        this->call->set_paused(is_paused);
    }
}

void relayed_attempt::state::set_held_bytes(std::size_t bytes) {
    const auto self = this->shared_from_this();
    this->held_bytes = bytes;
    if (this->budget_share && !this->has_ended) {
        this->budget_share->set(bytes);
    }
}

void relayed_attempt::state::handle_sent() {
    const auto self = this->shared_from_this();
    this->relay = this->params.relays->relay_of(*this->call);
    const wire::relayed_call_request& request = this->params.request;
    spdlog::info("call relayed request={} attempt={} to={} backend={} software={} resume_after={} "
                 "waited_ms={}",
                 request.name, this->params.attempt.value(), this->relay.value(),
                 request.backend.value(), request.software ? request.software->value() : "",
                 request.resume_after,
                 (this->params.time->now() - this->started_at) / std::chrono::milliseconds(1));
    this->params.on_sent(this->relay);
}

void relayed_attempt::state::handle_head(const http::response_head& head) {
    const auto self = this->shared_from_this();
    this->params.metrics->observe("relayed_head_seconds",
                                  this->params.time->now() - this->started_at);
    this->params.on_head(head);
}

void relayed_attempt::state::handle_data(std::string_view data) {
    const auto self = this->shared_from_this();
    this->set_held_bytes(this->held_bytes + data.size());
    if (!this->has_ended) {
        this->params.on_data(data);
    }
}

void relayed_attempt::state::end(relaying::relay_result result, const std::string& reason) {
    const auto self = this->shared_from_this();
    if (std::exchange(this->has_ended, true)) {
        return;
    }
    if (this->budget_share && result == relaying::relay_result::complete) {
        this->budget_share->complete();
    }
    this->log_end(relaying::to_string(result), reason);
    this->params.on_end(result, reason);
}

void relayed_attempt::state::log_end(const char* outcome, const std::string& reason) const {
    spdlog::info(
        "relayed call ended request={} attempt={} to={} outcome={} took_ms={} "
        "reason=\"{}\"",
        this->params.request.name, this->params.attempt.value(), this->relay.value(), outcome,
        (this->params.time->now() - this->started_at) / std::chrono::milliseconds(1), reason);
    this->params.metrics->count(std::string("calls_relayed_total{outcome=\"") + outcome + "\"}");
}

relayed_attempt::relayed_attempt(parameters arguments)
    : impl(std::make_shared<state>(std::move(arguments))) {
    this->impl->start();
}

relayed_attempt::~relayed_attempt() {
    this->impl->cancel();
}

void relayed_attempt::set_paused(bool is_paused) {
    this->impl->set_paused(is_paused);
}

void relayed_attempt::set_held_bytes(std::size_t bytes) {
    this->impl->set_held_bytes(bytes);
}

} // namespace kingcupcart::forwarding
