#pragma once

#include "base/endpoint.h"

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcupcart::http {

/// What a scripted server does with one request.
struct scripted_reply {
    enum class ending { keep_open, close, reset };

    std::string bytes;
    ending after = ending::keep_open;
    /// Sent a moment after `bytes`, once the client has had the time to read them.
    std::string late_bytes = {};
    /// Replies to the head alone, and reads no more from the connection.
    bool is_early = false;
};

/// A server that writes raw bytes: it answers each request, on any connection, with the next reply
/// of a list. It shows which requests a client writes, and where.
class scripted_server {
public:
    struct received_request {
        std::size_t connection = 0;
        std::string head;
    };

    explicit scripted_server(std::vector<scripted_reply> replies);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] endpoint address() const { return this->bound; }
    [[nodiscard]] std::vector<received_request> requests() const;

private:
    struct connection {
        int socket = -1;
        std::size_t number = 0;
        std::string input;
        bool is_read = true;
    };

    void serve();
    void accept_connection();
    /// Returns false if the connection has ended.
    bool serve_connection(connection& peer);
    bool reply_to(connection& peer, const std::string& head);

    std::vector<scripted_reply> replies;
    std::size_t next_reply = 0;
    std::vector<connection> connections;
    std::size_t accepted_count = 0;
    mutable std::mutex mutex;
    std::vector<received_request> received;
    endpoint bound;
    int listener = -1;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

} // namespace kingcupcart::http
