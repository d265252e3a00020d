#pragma once

#include "base/endpoint.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace kingcupcart::task {

/// TCP connections to one address, all opened at the same moment.
class connection_burst {
public:
    connection_burst(const endpoint& remote, std::size_t count) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(remote.port);
        REQUIRE(inet_pton(AF_INET, remote.address.c_str(), &address.sin_addr) == 1);
        for (std::size_t i = 0; i < count; ++i) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            REQUIRE(descriptor >= 0);
            static_cast<void>(
                connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address));
            this->sockets.push_back({descriptor, POLLOUT, 0});
        }
    }
    ~connection_burst() {
        for (const pollfd& opened : this->sockets) {
            close(opened.fd);
        }
    }
    connection_burst(const connection_burst&) = delete;
    connection_burst& operator=(const connection_burst&) = delete;

    /// How many are established within the time.
    [[nodiscard]] std::size_t established_within(std::chrono::milliseconds time) {
        const auto deadline = std::chrono::steady_clock::now() + time;
        std::size_t established = 0;
        while (established < this->sockets.size() && std::chrono::steady_clock::now() < deadline) {
            poll(this->sockets.data(), this->sockets.size(), 10);
            established = static_cast<std::size_t>(
                std::count_if(this->sockets.begin(), this->sockets.end(),
                              [](const pollfd& opened) { return opened.revents == POLLOUT; }));
        }
        return established;
    }

private:
    std::vector<pollfd> sockets;
};

} // namespace kingcupcart::task
