#pragma once

#include "http/tests/loopback_listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace kingcupcart::forwarding {

/// An address at which connections neither open nor fail, as behind a network that drops packets:
/// the kernel drops further attempts once the queue of unaccepted connections is full.
class unanswering_host {
public:
    unanswering_host() : listener(http::loopback_listener::open()) {
        listen(this->listener.socket, 0);
        constexpr int queued_connections = 4;
        for (int i = 0; i < queued_connections; ++i) {
            this->sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(this->listener.bound.port);
            connect(this->sockets.back(), reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address));
        }
    }
    ~unanswering_host() {
        for (const int opened : this->sockets) {
            close(opened);
        }
        close(this->listener.socket);
    }
    unanswering_host(const unanswering_host&) = delete;
    unanswering_host& operator=(const unanswering_host&) = delete;

    [[nodiscard]] const endpoint& address() const { return this->listener.bound; }

private:
    http::loopback_listener listener;
    std::vector<int> sockets;
};

} // namespace kingcupcart::forwarding
