#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "wire/messages.h"

#include <gio/gio.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace kingcupcart::wire {

/// A connection between two instances, on the event loop of the thread that created it. An idle
/// link sends keepalives; a link whose peer sends nothing for two to three seconds is closed.
class peer_link {
public:
    struct callbacks {
        /// The handshake is complete; messages can be sent.
        std::function<void()> opened;
        std::function<void(message)> received;
        /// Called at most once, as the last callback. The callback may destroy the link.
        std::function<void(const std::string& reason)> closed;
    };

    /// Connects to another instance.
    static std::unique_ptr<peer_link> dial(const endpoint& remote, callbacks notify);
    /// Runs the server side of a link on an accepted connection.
    static std::unique_ptr<peer_link> accept(GSocketConnection* connection, callbacks notify);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Returns false if the link is not open, or if more than `max_unsent_bytes` wait to be sent.
    bool send(const message& outgoing);
    /// Sends all pending messages, then closes the link.
    void close();

    /// When the peer last sent anything, also a keepalive; the epoch if it has sent nothing.
    [[nodiscard]] time_point last_received_at() const;
    [[nodiscard]] std::size_t bytes_sent() const;
    [[nodiscard]] std::size_t bytes_received() const;

    /// Above this many unsent bytes, `send` rejects further messages, so that a slow peer cannot
    /// exhaust the memory.
    static constexpr std::size_t max_unsent_bytes = 8UL * 1024 * 1024;

private:
    class state;
    explicit peer_link(std::shared_ptr<state> created);
    std::shared_ptr<state> impl;
};

} // namespace kingcupcart::wire
