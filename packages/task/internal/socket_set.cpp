#include "task/socket_set.h"

#include <glib.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace kingcupcart::task {

socket_set::socket_set() : epoll(epoll_create1(EPOLL_CLOEXEC)) {
    if (this->epoll < 0) {
        // Without an epoll instance the process can't communicate.
        g_error("cannot create an epoll instance: %s", std::strerror(errno));
    }
}

socket_set::~socket_set() {
    close(this->epoll);
}

std::uint64_t socket_set::add(int socket, std::function<void()> on_ready) {
    const std::uint64_t number = ++this->last_number;
    this->callbacks.emplace(number, std::make_shared<std::function<void()>>(std::move(on_ready)));
    this->control(EPOLL_CTL_ADD, socket, number, EPOLLIN);
    return number;
}

void socket_set::await_writable(int socket, std::uint64_t number, bool is_awaited) {
    const std::uint32_t readable = EPOLLIN;
    const std::uint32_t writable = EPOLLOUT;
    this->control(EPOLL_CTL_MOD, socket, number, is_awaited ? readable | writable : readable);
}

void socket_set::remove(int socket, std::uint64_t number) {
    this->callbacks.erase(number);
    if (socket >= 0) {
        this->control(EPOLL_CTL_DEL, socket, number, 0);
    }
}

void socket_set::control(int operation, int socket, std::uint64_t number,
                         std::uint32_t events) const {
    epoll_event event{};
    event.events = events;
    event.data.u64 = number;
    if (epoll_ctl(this->epoll, operation, socket, &event) != 0) {
        g_warning("cannot watch a socket: %s", std::strerror(errno));
    }
}

void socket_set::call_ready(int max_sockets) {
    std::vector<epoll_event> events(static_cast<std::size_t>(max_sockets));
    const int count = epoll_wait(this->epoll, events.data(), max_sockets, 0);
    for (int i = 0; i < count; ++i) {
        // An earlier callback may have removed this entry.
        const auto found = this->callbacks.find(events[static_cast<std::size_t>(i)].data.u64);
        if (found != this->callbacks.end()) {
            const std::shared_ptr<std::function<void()>> callback = found->second;
            (*callback)();
        }
    }
}

} // namespace kingcupcart::task
