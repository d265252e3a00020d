#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace kingcupcart::wire {

/// The WebSocket side of a link without any socket: bytes in, bytes out, messages in, messages out.
/// This header is also compiled as C++17, since websocketpp 0.8.2 is no C++20 with g++.
class link_engine {
public:
    enum class side { client, server };

    /// What the engine tells its owner. None may destroy the engine from within.
    struct callbacks {
        /// Bytes for the socket.
        std::function<void(const char*, std::size_t)> write;
        /// The handshake is done.
        std::function<void()> opened;
        /// A whole binary message.
        std::function<void(const std::string&)> received;
        /// The link is over; the reason is for a log line.
        std::function<void(const std::string&)> closed;
    };

    /// `authority` is the `address:port` that a client names in its handshake.
    link_engine(side which, const std::string& authority, callbacks notify);
    ~link_engine();
    link_engine(const link_engine&) = delete;
    link_engine& operator=(const link_engine&) = delete;

    /// Begins the handshake.
    void start();
    /// Bytes from the socket.
    void read(const char* data, std::size_t size);
    /// The socket is at its end.
    void end_of_input();
    /// False where the link is not open.
    bool send(const std::string& bytes);
    /// Begins the closing handshake.
    void close();

    /// Largest message, in bytes.
    static constexpr std::size_t message_limit = 64UL * 1024 * 1024;

    /// The websocketpp side, which differs between client and server.
    class state;

private:
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::wire
