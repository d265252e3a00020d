#include "http/tests/raw_server.h"

#include "http/tests/loopback_listener.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr int poll_interval_ms = 10;

/// The conditions that the socket meets, once it meets one or after `poll_interval_ms`.
int wait_for(int socket, int conditions) {
    pollfd descriptor{socket, static_cast<short>(conditions), 0};
    return poll(&descriptor, 1, poll_interval_ms) > 0 ? descriptor.revents : 0;
}

} // namespace

raw_server::raw_server(std::string response, std::string filler, std::size_t max_bytes)
    : response(std::move(response)), filler(std::move(filler)), max_bytes(max_bytes) {
    const loopback_listener opened = loopback_listener::open();
    this->listener = opened.socket;
    this->bound = opened.bound;
    this->thread = std::thread([this] { this->serve(); });
}

raw_server::~raw_server() {
    this->is_stopping = true;
    this->thread.join();
    close(this->listener);
}

void raw_server::serve() {
    while (!this->is_stopping) {
        if (wait_for(this->listener, POLLIN) == 0) {
            continue;
        }
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection >= 0) {
            this->serve_connection(connection);
            close(connection);
        }
    }
}

void raw_server::serve_connection(int connection) {
    std::string unsent = this->response;
    std::array<char, 4096> received{};
    while (!this->is_stopping) {
        if (unsent.empty()) {
            unsent = this->filler;
        }
        // Waits for both at once: a pause before each write would make the server a slow one.
        const int ready = wait_for(connection, unsent.empty() ? POLLIN : POLLIN | POLLOUT);
        if ((ready & POLLIN) != 0 &&
            recv(connection, received.data(), received.size(), MSG_DONTWAIT) == 0) {
            return;
        }
        if ((ready & POLLOUT) == 0) {
            continue;
        }
        if (this->written > this->max_bytes) {
            return;
        }
        const ssize_t size =
            send(connection, unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0) {
            return;
        }
        this->written += static_cast<std::size_t>(size);
        unsent.erase(0, static_cast<std::size_t>(size));
    }
}

} // namespace kingcupcart::http
