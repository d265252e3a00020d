#include "http/tests/flooding_server.h"

#include "http/tests/loopback_listener.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr int poll_interval_ms = 10;

std::string with_request_id(std::string response, std::string_view request) {
    constexpr std::string_view field = "X-Request-Id: ";
    const auto start = request.find(field);
    const auto mark = response.find(flooding_server::request_id_mark);
    if (start != std::string_view::npos && mark != std::string::npos) {
        const auto id = request.substr(start + field.size());
        response.replace(mark, std::string_view(flooding_server::request_id_mark).size(),
                         id.substr(0, id.find('\r')));
    }
    return response;
}

} // namespace

flooding_server::flooding_server(std::string response, const std::string& filler)
    : flooding_server(std::move(response), [filler](std::size_t) { return filler; }) {}

flooding_server::flooding_server(std::string response,
                                 std::function<std::string(std::size_t)> make_part)
    : response(std::move(response)), make_part(std::move(make_part)) {
    const loopback_listener opened = loopback_listener::open();
    this->listener = opened.socket;
    this->bound = opened.bound;
    this->thread = std::thread([this] { this->serve(); });
}

flooding_server::~flooding_server() {
    this->is_stopping = true;
    this->thread.join();
    for (const connection& peer : this->connections) {
        close(peer.socket);
    }
    close(this->listener);
}

void flooding_server::serve() {
    while (!this->is_stopping) {
        std::vector<pollfd> sockets{{this->listener, POLLIN, 0}};
        for (const connection& peer : this->connections) {
            const int conditions = peer.is_flooded ? POLLIN | POLLOUT : POLLIN;
            sockets.push_back({peer.socket, static_cast<short>(conditions), 0});
        }
        poll(sockets.data(), sockets.size(), poll_interval_ms);
        for (std::size_t i = 0; i < this->connections.size(); ++i) {
            this->serve_connection(this->connections[i], sockets[i + 1].revents);
        }
        std::erase_if(this->connections, [](const connection& peer) { return peer.is_closed; });
        if (sockets.front().revents != 0) {
            const int accepted = accept(this->listener, nullptr, nullptr);
            if (accepted >= 0) {
                this->connections.emplace_back().socket = accepted;
            }
        }
    }
}

void flooding_server::serve_connection(connection& peer, int ready) {
    std::array<char, 4096> received{};
    if ((ready & ~POLLOUT) != 0) {
        const ssize_t size = recv(peer.socket, received.data(), received.size(), MSG_DONTWAIT);
        peer.is_closed = size == 0 || (ready & (POLLERR | POLLHUP)) != 0;
        if (size > 0 && !std::exchange(peer.is_flooded, true)) {
            peer.unsent =
                with_request_id(this->response, {received.data(), static_cast<std::size_t>(size)});
            ++this->flooded;
            ++this->open;
        }
    }
    if (!peer.is_closed && (ready & POLLOUT) != 0) {
        this->write_some(peer);
    }
    if (peer.is_closed) {
        close(peer.socket);
        this->open -= peer.is_flooded ? 1 : 0;
    }
}

void flooding_server::write_some(connection& peer) {
    if (peer.unsent.empty()) {
        peer.unsent = this->make_part(peer.parts_sent++);
    }
    const ssize_t size =
        send(peer.socket, peer.unsent.data(), peer.unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size > 0) {
        this->written += static_cast<std::size_t>(size);
        peer.unsent.erase(0, static_cast<std::size_t>(size));
    } else {
        peer.is_closed = size < 0 && errno != EAGAIN;
    }
}

} // namespace kingcupcart::http
