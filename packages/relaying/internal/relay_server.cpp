#include "relaying/relay_server.h"

#include "relaying/internal/relay_server_state.h"

#include <utility>

namespace kingcupcart::relaying {

outcome<std::unique_ptr<relay_server>> relay_server::open(parameters arguments) {
    auto created = std::make_shared<shared_state>(std::move(arguments));
    BOOST_LEAF_CHECK(created->listen());
    return std::unique_ptr<relay_server>(new relay_server(std::move(created)));
}

relay_server::relay_server(std::shared_ptr<shared_state> created) : impl(std::move(created)) {}

relay_server::~relay_server() {
    this->impl->close();
}

const endpoint& relay_server::address() const {
    return this->impl->address();
}

std::size_t relay_server::open_count() const {
    return this->impl->open_count();
}

void relay_server::begin_stop() {
    this->impl->begin_stop();
}

} // namespace kingcupcart::relaying
