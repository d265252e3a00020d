#include "http/client.h"

#include "http/internal/client_state.h"
#include "http/internal/pending_call.h"

#include <utility>

namespace kingcupcart::http {

const char* to_string(call_result result) {
    switch (result) {
    case call_result::complete:
        return "complete";
    case call_result::unreachable:
        return "unreachable";
    case call_result::disconnected:
        return "disconnected";
    case call_result::broken:
        return "broken";
    }
    return "?";
}

client::call::call(std::shared_ptr<state> new_state) : impl(std::move(new_state)) {}

client::call::~call() {
    this->impl->cancel();
}

void client::call::drain() {
    this->impl->drain();
}

void client::call::set_held_bytes(std::size_t bytes) {
    this->impl->set_held_bytes(bytes);
}

void client::call::set_paused(bool is_paused) {
    this->impl->set_paused(is_paused);
}

client::client(const clock& time) : client(time, parameters()) {}

client::client(const clock& time, const parameters& settings)
    : impl(std::make_shared<shared_state>(time, settings)) {}

client::~client() {
    this->impl->close();
}

const response_budget& client::budget() const {
    return *this->impl->budget;
}

bool client::has_idle(const endpoint& server) const {
    return this->impl->idle_connections.contains(server);
}

void client::close_idle(const endpoint& server) {
    this->impl->idle_connections.close(server);
}

std::unique_ptr<client::call> client::start(const request& outgoing, callbacks notify) {
    auto encoded = value_or_error([&] { return encode(outgoing); });
    auto created = std::make_shared<call::state>(outgoing, std::move(notify), this->impl);
    if (const auto* problem = std::get_if<error>(&encoded)) {
        created->finish(call_result::unreachable, problem->message);
    } else {
        created->set_request(std::get<encoded_request>(std::move(encoded)));
        this->impl->start_later(created);
    }
    return std::unique_ptr<call>(new call(std::move(created)));
}

} // namespace kingcupcart::http
