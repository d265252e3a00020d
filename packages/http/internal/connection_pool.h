#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "task/timer.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace kingcupcart::http {

class connection;

/// The idle connections of a client. One that its peer closes, or on which bytes arrive that no
/// request asked for, is closed at once.
class connection_pool {
public:
    explicit connection_pool(const clock& time);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// The connection that was used last; null if there is none.
    [[nodiscard]] std::unique_ptr<connection> take(const endpoint& peer);
    /// Whether `take` would return a connection.
    [[nodiscard]] bool contains(const endpoint& peer) const;
    /// Closes all connections to the peer.
    void close(const endpoint& peer);
    /// `keep_alive_time` is the idle timeout that the peer announced, if any.
    void add(std::unique_ptr<connection> unused, std::optional<duration> keep_alive_time);

private:
    struct idle_connection {
        std::unique_ptr<connection> open;
        time_point expires_at{};
    };

    [[nodiscard]] bool is_usable(const idle_connection& idle) const;
    void remove(const endpoint& peer, const connection* closed);
    void close_expired();

    const clock& time;
    std::map<endpoint, std::vector<idle_connection>> connections;
    task::timer expiry_timer;
};

} // namespace kingcupcart::http
