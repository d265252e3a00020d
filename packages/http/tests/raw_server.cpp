#include "http/tests/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr int poll_interval_ms = 10;
/// After that many bytes the server closes the connection, so that a client that reads all of them
/// is seen to do so.
constexpr std::size_t max_written_bytes = 256UL * 1024 * 1024;

bool wait_for(int socket, short condition) {
    pollfd descriptor{socket, condition, 0};
    return poll(&descriptor, 1, poll_interval_ms) > 0;
}

} // namespace

raw_server::raw_server(std::string response, std::string filler)
    : response(std::move(response)), filler(std::move(filler)) {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(this->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    listen(this->listener, SOMAXCONN);
    socklen_t size = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    this->bound = endpoint{"127.0.0.1", ntohs(address.sin_port)};
    this->thread = std::thread([this] { this->serve(); });
}

raw_server::~raw_server() {
    this->is_stopping = true;
    this->thread.join();
    close(this->listener);
}

void raw_server::serve() {
    while (!this->is_stopping) {
        if (!wait_for(this->listener, POLLIN)) {
            continue;
        }
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection >= 0) {
            this->serve_connection(connection);
            close(connection);
        }
    }
}

void raw_server::serve_connection(int connection) {
    std::string unsent = this->response;
    std::array<char, 4096> received{};
    while (!this->is_stopping) {
        if (wait_for(connection, POLLIN) &&
            recv(connection, received.data(), received.size(), MSG_DONTWAIT) == 0) {
            return;
        }
        if (unsent.empty()) {
            unsent = this->filler;
        }
        if (unsent.empty() || !wait_for(connection, POLLOUT)) {
            continue;
        }
        if (this->written > max_written_bytes) {
            return;
        }
        const ssize_t size =
            send(connection, unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0) {
            return;
        }
        this->written += static_cast<std::size_t>(size);
        unsent.erase(0, static_cast<std::size_t>(size));
    }
}

} // namespace kingcupcart::http
