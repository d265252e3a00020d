#include "relaying/relayed_exchange.h"

#include "relaying/internal/exchange_state.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::relaying {

namespace {

/// Parts in which a whole response is sent, so that other calls on the link don't wait for it.
constexpr std::size_t part_bytes = 64UL * 1024;

} // namespace

relayed_exchange::relayed_exchange(std::shared_ptr<state> new_state) : impl(std::move(new_state)) {}

relayed_exchange::~relayed_exchange() {
    this->impl->on_sent = nullptr;
    this->impl->on_cancel = nullptr;
    this->impl->fail(true, "the relay has given up the call", {});
}

const instance_id& relayed_exchange::origin() const {
    return this->impl->origin();
}

void relayed_exchange::respond(const http::response_head& head, std::string_view body) {
    this->impl->begin(head, false);
    for (std::size_t at = 0; at < body.size(); at += part_bytes) {
        this->impl->append(body.substr(at, part_bytes));
    }
    this->impl->end();
}

void relayed_exchange::begin_stream(const http::response_head& head) {
    this->impl->begin(head, true);
}

void relayed_exchange::write(std::string_view part) {
    this->impl->append(part);
}

void relayed_exchange::end_stream() {
    this->impl->end();
}

void relayed_exchange::refuse(bool has_run, const std::string& reason, duration retry_after) {
    this->impl->fail(has_run, reason, retry_after);
}

std::size_t relayed_exchange::unsent_bytes() const {
    return this->impl->unsent_bytes();
}

void relayed_exchange::on_sent(std::function<void()> callback) {
    this->impl->on_sent = std::move(callback);
}

void relayed_exchange::on_cancel(std::function<void()> callback) {
    this->impl->on_cancel = std::move(callback);
}

bool relayed_exchange::is_streaming() const {
    return this->impl->is_streaming();
}

} // namespace kingcupcart::relaying
