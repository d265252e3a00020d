#pragma once

#include "base/clock.h"
#include "task/socket_set.h"
#include "task/wakeup.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <utility>

namespace kingcupcart::http {

/// Reads from many streams together, once per interval, those that have data. With one GLib source
/// per stream, hundreds of slow streams would wake the event loop, and make it poll all its
/// sources, for every event.
class read_coalescer {
public:
    explicit read_coalescer(duration interval)
        : interval(interval), timer([this] { this->run(); }) {}

    /// Calls `read` in each interval in which the socket has data. Returns the number of the entry.
    std::uint64_t add(int socket, std::function<void()> read) {
        if (this->sockets.empty()) {
            this->timer.arm(std::chrono::steady_clock::now() + this->interval);
        }
        return this->sockets.add(socket, std::move(read));
    }
    void remove(int socket, std::uint64_t number) { this->sockets.remove(socket, number); }

private:
    /// Sockets read in one iteration of the event loop, so that other sources are served in
    /// between.
    static constexpr int max_sockets_per_iteration = 256;

    void run() {
        this->sockets.call_ready(max_sockets_per_iteration);
        if (!this->sockets.empty()) {
            this->timer.arm(std::chrono::steady_clock::now() + this->interval);
        }
    }

    duration interval;
    task::socket_set sockets;
    task::wakeup timer;
};

} // namespace kingcupcart::http
