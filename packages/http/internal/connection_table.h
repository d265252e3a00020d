#pragma once

#include "task/g_pointer.h"

#include <gio/gio.h>

#include <sys/socket.h>

#include <cstdint>
#include <unordered_map>
#include <utility>

namespace kingcupcart::http {

/// The sockets of a session's connections by libsoup's connection number.
///
/// libsoup 3.2 takes the end of the connection between two chunks for the end of the body; only the
/// socket tells an answer that was cut short from a whole one.
class connection_table {
public:
    void add(std::uint64_t connection, task::g_pointer<GSocket> socket) {
        std::erase_if(this->sockets, [](const auto& item) {
            return g_socket_is_closed(item.second.get()) != FALSE;
        });
        this->sockets.insert_or_assign(connection, std::move(socket));
    }

    /// Whether the peer has closed the connection.
    [[nodiscard]] bool is_at_end(std::uint64_t connection) const {
        const auto known = this->sockets.find(connection);
        if (known == this->sockets.end() || g_socket_is_closed(known->second.get()) != FALSE) {
            return true;
        }
        char byte = 0;
        return recv(g_socket_get_fd(known->second.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

private:
    std::unordered_map<std::uint64_t, task::g_pointer<GSocket>> sockets;
};

} // namespace kingcupcart::http
