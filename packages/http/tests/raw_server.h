#pragma once

#include "base/endpoint.h"

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>

namespace kingcupcart::http {

/// A server that writes given bytes to each connection, whatever the client sends, and then repeats
/// `filler` until the client closes the connection. It shows how the client treats servers that do
/// not keep to the protocol.
class raw_server {
public:
    /// By default the server closes the connection after that many bytes, so that a client that
    /// reads all of them is seen to do so.
    static constexpr std::size_t default_max_bytes = 256UL * 1024 * 1024;

    /// With an empty `filler` the connection stays open without further bytes.
    raw_server(std::string response, std::string filler, std::size_t max_bytes = default_max_bytes);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    [[nodiscard]] endpoint address() const { return this->bound; }
    /// Bytes written over all connections.
    [[nodiscard]] std::size_t bytes_written() const { return this->written; }

private:
    void serve();
    void serve_connection(int connection);

    std::string response;
    std::string filler;
    std::size_t max_bytes;
    endpoint bound;
    int listener = -1;
    std::atomic<bool> is_stopping = false;
    std::atomic<std::size_t> written = 0;
    std::thread thread;
};

} // namespace kingcupcart::http
