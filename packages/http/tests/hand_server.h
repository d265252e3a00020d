#pragma once

#include "base/endpoint.h"
#include "http/tests/loopback_listener.h"

#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace kingcupcart::http {

/// A server that does only what the test tells it, step by step, in the test's own thread. Its host
/// can be made to drop all packets, as if the network had lost the path to it.
class hand_server {
public:
    hand_server() : listener(loopback_listener::open()) {}
    ~hand_server() {
        this->close_connection();
        close(this->listener.socket);
    }
    hand_server(const hand_server&) = delete;
    hand_server& operator=(const hand_server&) = delete;

    [[nodiscard]] endpoint address() const { return this->listener.bound; }

    void accept_connection() {
        this->close_connection();
        this->accepted = accept(this->listener.socket, nullptr, nullptr);
    }
    /// Reads what has arrived, at most that many bytes. The client runs in the same thread, so
    /// waiting for more would not end.
    void read(std::size_t max_bytes) const {
        std::array<char, 65536> buffer{};
        ssize_t size = 1;
        for (std::size_t left = max_bytes; left > 0 && size > 0;
             left -= static_cast<std::size_t>(std::max<ssize_t>(size, 0))) {
            size = recv(this->accepted, buffer.data(), std::min(left, buffer.size()), MSG_DONTWAIT);
        }
    }
    void write(std::string_view bytes) const {
        send(this->accepted, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// From now on, packets to the listener don't arrive. `regain_listener` ends this.
    void lose_listener() const { drop_packets(this->listener.socket); }
    void regain_listener() const { pass_packets(this->listener.socket); }
    /// From now on, packets on the accepted connection don't arrive.
    void lose_connection() const { drop_packets(this->accepted); }
    void regain_connection() const { pass_packets(this->accepted); }

private:
    static void drop_packets(int socket) {
        // Passes none of the packet's bytes to the socket.
        sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop};
        setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
    }
    static void pass_packets(int socket) {
        const int unused = 0;
        setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
    }
    void close_connection() {
        if (this->accepted >= 0) {
            close(this->accepted);
            this->accepted = -1;
        }
    }

    loopback_listener listener;
    int accepted = -1;
};

} // namespace kingcupcart::http
