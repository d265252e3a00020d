#pragma once

#include "base/endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace kingcupcart::http {

/// A socket that listens on a free port of the loopback address. Its user closes it.
struct loopback_listener {
    int socket = -1;
    endpoint bound;

    static loopback_listener open() {
        loopback_listener listener;
        listener.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        listen(listener.socket, SOMAXCONN);
        socklen_t size = sizeof(address);
        getsockname(listener.socket, reinterpret_cast<sockaddr*>(&address), &size);
        listener.bound = endpoint{"127.0.0.1", ntohs(address.sin_port)};
        return listener;
    }
};

} // namespace kingcupcart::http
