#include "http/tests/scripted_server.h"

#include "http/tests/loopback_listener.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr int poll_interval_ms = 10;
constexpr auto late_delay = std::chrono::milliseconds(50);
constexpr const char* head_end = "\r\n\r\n";
constexpr const char* length_field = "Content-Length: ";

std::size_t body_length(const std::string& head) {
    const auto found = head.find(length_field);
    return found == std::string::npos
               ? 0
               : std::stoul(head.substr(found + std::string(length_field).size()));
}

bool send_all(int socket, const std::string& bytes) {
    const ssize_t size = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return size == static_cast<ssize_t>(bytes.size());
}

void reset_on_close(int socket) {
    const linger immediately{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
}

} // namespace

scripted_server::scripted_server(std::vector<scripted_reply> replies)
    : replies(std::move(replies)) {
    const loopback_listener opened = loopback_listener::open();
    this->listener = opened.socket;
    this->bound = opened.bound;
    this->thread = std::thread([this] { this->serve(); });
}

scripted_server::~scripted_server() {
    this->is_stopping = true;
    this->thread.join();
    for (const connection& peer : this->connections) {
        close(peer.socket);
    }
    close(this->listener);
}

std::vector<scripted_server::received_request> scripted_server::requests() const {
    const std::lock_guard guard(this->mutex);
    return this->received;
}

void scripted_server::serve() {
    while (!this->is_stopping) {
        std::vector<pollfd> descriptors{{this->listener, POLLIN, 0}};
        for (const connection& peer : this->connections) {
            // The kernel ignores negative descriptors.
            descriptors.push_back({peer.is_read ? peer.socket : -1, POLLIN, 0});
        }
        if (poll(descriptors.data(), descriptors.size(), poll_interval_ms) <= 0) {
            continue;
        }
        std::erase_if(this->connections, [&](connection& peer) {
            const auto ready =
                std::find_if(descriptors.begin(), descriptors.end(), [&](const pollfd& descriptor) {
                    return descriptor.fd == peer.socket && descriptor.revents != 0;
                });
            const bool has_ended = ready != descriptors.end() && !this->serve_connection(peer);
            if (has_ended) {
                close(peer.socket);
            }
            return has_ended;
        });
        if (descriptors.front().revents != 0) {
            this->accept_connection();
        }
    }
}

void scripted_server::accept_connection() {
    const int socket = accept(this->listener, nullptr, nullptr);
    if (socket >= 0) {
        this->connections.push_back({socket, ++this->accepted_count, "", true});
    }
}

bool scripted_server::serve_connection(connection& peer) {
    std::array<char, 65536> buffer{};
    const ssize_t size = recv(peer.socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size <= 0) {
        return false;
    }
    peer.input.append(buffer.data(), static_cast<std::size_t>(size));
    const auto end = peer.input.find(head_end);
    if (end == std::string::npos || this->next_reply >= this->replies.size()) {
        return true;
    }
    const std::string head = peer.input.substr(0, end);
    const std::size_t total = end + std::string(head_end).size() + body_length(head);
    if (!this->replies[this->next_reply].is_early && peer.input.size() < total) {
        return true;
    }
    peer.input.erase(0, total);
    peer.is_read = !this->replies[this->next_reply].is_early;
    return this->reply_to(peer, head);
}

bool scripted_server::reply_to(connection& peer, const std::string& head) {
    {
        const std::lock_guard guard(this->mutex);
        this->received.push_back({peer.number, head});
    }
    const scripted_reply& reply = this->replies[this->next_reply++];
    bool is_open = send_all(peer.socket, reply.bytes);
    if (is_open && !reply.late_bytes.empty()) {
        std::this_thread::sleep_for(late_delay);
        is_open = send_all(peer.socket, reply.late_bytes);
    }
    if (is_open && reply.after != scripted_reply::ending::keep_open && !reply.bytes.empty()) {
        std::this_thread::sleep_for(late_delay);
    }
    if (reply.after == scripted_reply::ending::reset) {
        reset_on_close(peer.socket);
    }
    return is_open && reply.after == scripted_reply::ending::keep_open;
}

} // namespace kingcupcart::http
