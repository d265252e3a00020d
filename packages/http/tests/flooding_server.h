#pragma once

#include "base/endpoint.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace kingcupcart::http {

/// A server that answers each request, on any number of connections at once, by `response` and then
/// by one part after the other, until the client closes the connection. In `response` the
/// request's identifier takes the place of `request_id_mark`.
class flooding_server {
public:
    static constexpr const char* request_id_mark = "{id}";

    /// Sends `filler` again and again.
    flooding_server(std::string response, const std::string& filler);
    /// `make_part` returns the part with this number, from 0 on each connection. It is called on
    /// another thread.
    flooding_server(std::string response, std::function<std::string(std::size_t)> make_part);
    ~flooding_server();
    flooding_server(const flooding_server&) = delete;
    flooding_server& operator=(const flooding_server&) = delete;

    [[nodiscard]] endpoint address() const { return this->bound; }
    [[nodiscard]] std::size_t bytes_written() const { return this->written; }
    /// Connections on which a request arrived, and those of them that are still open.
    [[nodiscard]] std::size_t flooded_count() const { return this->flooded; }
    [[nodiscard]] std::size_t open_count() const { return this->open; }

private:
    struct connection {
        int socket = -1;
        bool is_flooded = false;
        bool is_closed = false;
        std::size_t parts_sent = 0;
        std::string unsent;
    };

    void serve();
    void serve_connection(connection& peer, int ready);
    void write_some(connection& peer);

    std::string response;
    std::function<std::string(std::size_t)> make_part;
    endpoint bound;
    int listener = -1;
    std::vector<connection> connections;
    std::atomic<bool> is_stopping = false;
    std::atomic<std::size_t> written = 0;
    std::atomic<std::size_t> flooded = 0;
    std::atomic<std::size_t> open = 0;
    std::thread thread;
};

} // namespace kingcupcart::http
