#include "entry/internal/exchange_sink.h"

#include "http/exchange.h"

#include <string>
#include <utility>

namespace kingcupcart::entry {

namespace {

constexpr int status_bad_gateway = 502;

} // namespace

exchange_sink::exchange_sink(std::unique_ptr<http::exchange> exchange)
    : exchange(std::move(exchange)) {}

exchange_sink::~exchange_sink() = default;

void exchange_sink::send(const requests::recorded_response& response) {
    if (response.outcome != requests::outcome_kind::answered) {
        problem refusal;
        refusal.status = status_bad_gateway;
        refusal.outcome = response.outcome;
        refusal.reason = response.reason;
        this->refuse(refusal);
        return;
    }
    this->exchange->add_header(outcome_header, requests::to_string(response.outcome));
    std::string content_type;
    for (const header_field& field : response.headers) {
        if (field.name == "Content-Type") {
            content_type = field.value;
        } else {
            this->exchange->add_header(field.name.c_str(), field.value);
        }
    }
    this->exchange->respond(response.status, content_type, response.body);
}

void exchange_sink::refuse(const problem& refusal) {
    this->exchange->add_header(outcome_header, requests::to_string(refusal.outcome));
    if (refusal.retry_after > duration::zero()) {
        this->exchange->add_header("Retry-After", std::to_string(refusal.retry_after_seconds()));
    }
    this->exchange->respond(refusal.status, problem_type, refusal.to_json());
}

void exchange_sink::on_disconnect(std::function<void()> callback) {
    this->exchange->on_disconnect(std::move(callback));
}

} // namespace kingcupcart::entry
