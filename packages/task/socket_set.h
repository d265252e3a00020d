#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace kingcupcart::task {

/// Sockets with a callback for each, of which the ready ones are found in one system call (epoll).
/// The owner decides when to look: `descriptor` is readable while any socket is ready.
class socket_set {
public:
    socket_set();
    ~socket_set();
    socket_set(const socket_set&) = delete;
    socket_set& operator=(const socket_set&) = delete;

    /// Returns the number of the entry. The socket is ready while it is readable, or its connection
    /// failed.
    std::uint64_t add(int socket, std::function<void()> on_ready);
    /// Whether the socket is also ready while it is writable.
    void await_writable(int socket, std::uint64_t number, bool is_awaited);
    /// `socket` is negative if it has been closed, by which it has left the set already.
    void remove(int socket, std::uint64_t number);
    /// Calls back for up to `max_sockets` ready sockets. A callback may remove entries.
    void call_ready(int max_sockets);

    [[nodiscard]] int descriptor() const { return this->epoll; }
    [[nodiscard]] bool empty() const { return this->callbacks.empty(); }

private:
    void control(int operation, int socket, std::uint64_t number, std::uint32_t events) const;

    int epoll;
    std::uint64_t last_number = 0;
    /// Shared, because a callback may remove its own entry.
    std::unordered_map<std::uint64_t, std::shared_ptr<std::function<void()>>> callbacks;
};

} // namespace kingcupcart::task
