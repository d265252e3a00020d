#include "task/event_loop.h"
#include "wire/listener.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::wire;
using namespace std::chrono_literals;

namespace {

/// TCP connections to one address, all opened at the same moment.
class connection_burst {
public:
    connection_burst(const endpoint& remote, std::size_t count) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(remote.port);
        REQUIRE(inet_pton(AF_INET, remote.address.c_str(), &address.sin_addr) == 1);
        for (std::size_t i = 0; i < count; ++i) {
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            REQUIRE(descriptor >= 0);
            static_cast<void>(
                connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address));
            this->sockets.push_back({descriptor, POLLOUT, 0});
        }
    }
    ~connection_burst() {
        for (const pollfd& opened : this->sockets) {
            close(opened.fd);
        }
    }
    connection_burst(const connection_burst&) = delete;
    connection_burst& operator=(const connection_burst&) = delete;

    /// How many are established within the time.
    [[nodiscard]] std::size_t established_within(std::chrono::milliseconds time) {
        const auto deadline = std::chrono::steady_clock::now() + time;
        std::size_t established = 0;
        while (established < this->sockets.size() && std::chrono::steady_clock::now() < deadline) {
            poll(this->sockets.data(), this->sockets.size(), 10);
            established = static_cast<std::size_t>(
                std::count_if(this->sockets.begin(), this->sockets.end(),
                              [](const pollfd& opened) { return opened.revents == POLLOUT; }));
        }
        return established;
    }

private:
    std::vector<pollfd> sockets;
};

} // namespace

// Guards against connections that wait for the kernel's next attempt, seconds later: after a loss
// of power, all instances of a fleet connect to the same few at the same moment.
SCENARIO("a listener takes the connections of a whole fleet at once") {
    GIVEN("a listener that is busy") {
        task::event_loop loop;
        loop.enter();
        std::size_t accepted = 0;
        auto opened = value_or_error([&] {
            return listener::open({"127.0.0.1", 0}, [&](GSocketConnection*) { ++accepted; });
        });
        REQUIRE(std::holds_alternative<std::unique_ptr<listener>>(opened));
        const auto& listening = std::get<std::unique_ptr<listener>>(opened);
        WHEN("249 instances connect") {
            connection_burst connections(listening->address(), 249);
            THEN("all are connected before it accepts any") {
                CHECK(connections.established_within(500ms) == 249);
                CHECK(accepted == 0);
            }
        }
        loop.leave();
    }
}
