#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace kingcupcart::wire {

/// One side of a WebSocket connection, without a socket: the owner moves the bytes between the
/// session and the network. This header must also compile as C++17, since g++ rejects websocketpp
/// 0.8.2 as C++20.
class websocket_session {
public:
    enum class side { client, server };

    /// Called by the session, possibly from within `start`, `read`, `end_of_input`, `send` and
    /// `close`. A callback must not destroy the session.
    struct callbacks {
        /// Bytes to be written to the network.
        std::function<void(const char*, std::size_t)> write;
        /// The opening handshake is complete; messages can be sent.
        std::function<void()> opened;
        /// A complete binary message from the peer.
        std::function<void(const std::string&)> received;
        /// The session is closed, or its handshake failed. The text is the reason, for logs.
        std::function<void(const std::string&)> closed;
    };

    /// `authority` is the server's `address:port`, for the client's handshake; a server ignores it.
    websocket_session(side local_side, const std::string& authority, callbacks notify);
    ~websocket_session();
    websocket_session(const websocket_session&) = delete;
    websocket_session& operator=(const websocket_session&) = delete;

    /// Starts the opening handshake.
    void start();
    /// Processes bytes that were received from the network.
    void read(const char* data, std::size_t size);
    /// Processes the end of the input: the peer has closed its side of the network connection.
    void end_of_input();
    /// Sends a binary message. Returns false if the session is not open.
    bool send(const std::string& bytes);
    /// Starts the closing handshake.
    void close();

    /// Maximum size of a received message, in bytes. A larger one closes the session.
    static constexpr std::size_t max_message_size = 64UL * 1024 * 1024;

    /// The interface to websocketpp, whose types differ between clients and servers.
    class endpoint_session;

private:
    std::unique_ptr<endpoint_session> impl;
};

} // namespace kingcupcart::wire
