#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace kingcupcart::task {

class socket_poller;

/// Calls back when a socket becomes ready, on the event loop of the thread that created the watch.
/// All watches of a loop share one GLib source: an iteration costs as much as there are ready
/// sockets, whatever the number of open ones.
class socket_watch {
public:
    /// `on_ready` is called again and again while the socket is readable, or writable if that is
    /// awaited, and when the connection failed. It may destroy the watch. The socket has to stay
    /// open as long as the watch exists.
    socket_watch(int socket, std::function<void()> on_ready);
    ~socket_watch();
    socket_watch(const socket_watch&) = delete;
    socket_watch& operator=(const socket_watch&) = delete;

    /// Whether the callback is also called while the socket is writable.
    void await_writable(bool is_awaited);

private:
    std::shared_ptr<socket_poller> poller;
    int socket;
    std::uint64_t number;
    bool awaits_writable = false;
};

} // namespace kingcupcart::task
