#include "task/socket_watch.h"

#include "task/internal/socket_poller.h"

#include <utility>

namespace kingcupcart::task {

socket_watch::socket_watch(int socket, std::function<void()> on_ready)
    : poller(socket_poller::current()),
      socket(socket),
      number(this->poller->sockets().add(socket, std::move(on_ready))) {}

socket_watch::~socket_watch() {
    this->poller->sockets().remove(this->socket, this->number);
}

void socket_watch::await_writable(bool is_awaited) {
    if (is_awaited != this->awaits_writable) {
        this->awaits_writable = is_awaited;
        this->poller->sockets().await_writable(this->socket, this->number, is_awaited);
    }
}

} // namespace kingcupcart::task
