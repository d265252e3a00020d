#pragma once

#include "task/g_pointer.h"

#include <gio/gio.h>

#include <sys/socket.h>

#include <cstdint>
#include <unordered_map>
#include <utility>

namespace kingcupcart::http {

/// The sockets of a session's connections, by libsoup's connection identifier.
///
/// libsoup 3.2 treats a connection that closes between two chunks as the end of the body; only the
/// socket shows whether a response is truncated or complete.
class connection_table {
public:
    void add(std::uint64_t connection, task::g_pointer<GSocket> socket) {
        std::erase_if(this->sockets, [](const auto& item) {
            return g_socket_is_closed(item.second.get()) != FALSE;
        });
        this->sockets.insert_or_assign(connection, std::move(socket));
    }

    /// Null if the connection is not in the table.
    [[nodiscard]] GSocket* find(std::uint64_t connection) const {
        const auto entry = this->sockets.find(connection);
        return entry == this->sockets.end() ? nullptr : entry->second.get();
    }

    /// Whether the peer has closed the connection; true also if the connection is not in the table.
    [[nodiscard]] bool is_closed_by_peer(std::uint64_t connection) const {
        const auto entry = this->sockets.find(connection);
        if (entry == this->sockets.end() || g_socket_is_closed(entry->second.get()) != FALSE) {
            return true;
        }
        char byte = 0;
        return recv(g_socket_get_fd(entry->second.get()), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

private:
    std::unordered_map<std::uint64_t, task::g_pointer<GSocket>> sockets;
};

} // namespace kingcupcart::http
