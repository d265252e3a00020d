#pragma once

#include "base/endpoint.h"
#include "wire/messages.h"

#include <gio/gio.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace kingcupcart::wire {

/// One connection between two instances, on the loop of the thread that made it.
class peer_link {
public:
    struct callbacks {
        std::function<void()> opened;
        std::function<void(message)> received;
        /// Told once; no other callback follows. The link may be destroyed from within.
        std::function<void(const std::string& reason)> closed;
    };

    /// Connects to another instance.
    static std::unique_ptr<peer_link> dial(const endpoint& remote, callbacks notify);
    /// Takes over an accepted connection.
    static std::unique_ptr<peer_link> accept(GSocketConnection* connection, callbacks notify);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// False where the link is not open or its peer reads too slowly.
    bool send(const message& outgoing);
    /// Sends what is written so far, then closes.
    void close();

    [[nodiscard]] std::size_t bytes_sent() const;
    [[nodiscard]] std::size_t bytes_received() const;

    /// Unsent bytes above which a link to a slow peer is cut, so that it cannot fill the memory.
    static constexpr std::size_t backlog_limit = 8UL * 1024 * 1024;

private:
    class state;
    explicit peer_link(std::shared_ptr<state> made);
    std::shared_ptr<state> self;
};

} // namespace kingcupcart::wire
