#include "relaying/relay_client.h"

#include "relaying/internal/relay_client_state.h"
#include "relaying/internal/relayed_call.h"

#include <utility>

namespace kingcupcart::relaying {

relay_client::call::call(std::shared_ptr<state> new_state) : impl(std::move(new_state)) {}

relay_client::call::~call() {
    if (const auto client = this->impl->client.lock()) {
        client->cancel(this->impl);
    }
}

void relay_client::call::set_paused(bool is_paused) {
    if (const auto client = this->impl->client.lock()) {
        client->set_paused(this->impl, is_paused);
    }
}

relay_client::relay_client(parameters arguments)
    : impl(std::make_shared<shared_state>(std::move(arguments))) {}

relay_client::~relay_client() {
    this->impl->close();
}

std::unique_ptr<relay_client::call> relay_client::start(const wire::relayed_call_request& request,
                                                        const std::vector<instance_id>& passed_over,
                                                        call_callbacks notify) {
    auto created = std::make_shared<call::state>();
    created->client = this->impl;
    created->request = request;
    created->passed_over.insert(passed_over.begin(), passed_over.end());
    created->notify = std::move(notify);
    this->impl->add(created);
    return std::unique_ptr<call>(new call(std::move(created)));
}

void relay_client::prepare(const backend_name& backend) {
    this->impl->prepare(backend);
}

void relay_client::handle(const wire::relay_lookup_response& response) {
    this->impl->handle(response);
}

std::size_t relay_client::open_count() const {
    return this->impl->open_count();
}

// A member of the client, since only a client has calls.
// NOLINTNEXTLINE(readability-convert-member-functions-to-static)
instance_id relay_client::relay_of(const call& sent) const {
    return sent.impl->relay;
}

} // namespace kingcupcart::relaying
