#include "base/system_clock.h"
#include "http/exchange.h"
#include "http/server.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

class raw_connection {
public:
    explicit raw_connection(const endpoint& server)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    ~raw_connection() { close(this->socket); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// Returns whether the system took the bytes.
    bool send(std::string_view bytes) const {
        return ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }
    /// Appends what has arrived to `received`.
    void read() {
        std::array<char, 4096> part{};
        const ssize_t size = recv(this->socket, part.data(), part.size(), MSG_DONTWAIT);
        this->is_ended = this->is_ended || size == 0 || (size < 0 && errno != EAGAIN);
        this->received.append(part.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    }

    std::string received;
    bool is_ended = false;

private:
    int socket;
};

/// A server that refuses each request with the field `Refuse` when its head arrives.
struct refusing_server {
    system_clock time;
    task::event_loop loop;
    std::unique_ptr<server> http_server;
    std::unique_ptr<task::wakeup> timeout;
    int handled = 0;

    refusing_server() {
        this->loop.enter();
        this->timeout = std::make_unique<task::wakeup>([this] { this->loop.quit(); });
        auto opened = value_or_error([&] {
            constexpr std::int64_t body_limit = 1024 * 1024;
            return server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                [this](std::unique_ptr<exchange> received) {
                                    ++this->handled;
                                    received->respond(200, "text/plain", received->body());
                                });
        });
        this->http_server = std::move(std::get<std::unique_ptr<server>>(opened));
        this->http_server->check_heads([](exchange& head) {
            if (!head.header("Refuse").empty()) {
                head.add_header("X-Why", "no key");
                head.respond(401, "text/plain", "refused\n");
            }
        });
    }
    ~refusing_server() {
        this->http_server.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->timeout.reset();
        this->loop.leave();
    }
    refusing_server(const refusing_server&) = delete;
    refusing_server& operator=(const refusing_server&) = delete;

    void run_for(duration time_to_run) {
        this->timeout->arm(this->time.now() + time_to_run);
        this->loop.run();
    }
    /// Runs until the text has arrived, for two seconds at most.
    bool receives(raw_connection& caller, std::string_view text) {
        for (int i = 0; i < 200 && caller.received.find(text) == std::string::npos; ++i) {
            this->run_for(std::chrono::milliseconds(10));
            caller.read();
        }
        return caller.received.find(text) != std::string::npos;
    }
};

} // namespace

// libsoup sends no response before the body has arrived, so that a refused caller could hold a
// connection and its buffers for as long as it sends.
SCENARIO("a request is refused before its body arrives") {
    refusing_server server;
    raw_connection caller(server.http_server->address());
    const std::string refused = "POST / HTTP/1.1\r\nHost: a\r\nRefuse: yes\r\n";
    WHEN("none of its body has arrived") {
        REQUIRE(caller.send(refused + "Content-Length: 100000\r\n\r\n"));
        THEN("the response arrives whole, the handler is not called, and the connection ends") {
            REQUIRE(server.receives(caller, "\r\n\r\nrefused\n"));
            CHECK(caller.received.starts_with("HTTP/1.1 401 "));
            CHECK(caller.received.find("X-Why: no key\r\n") != std::string::npos);
            CHECK(caller.received.find("Connection: close\r\n") != std::string::npos);
            CHECK(caller.received.find("Content-Length: 8\r\n") != std::string::npos);
            server.run_for(std::chrono::milliseconds(1500));
            caller.read();
            CHECK(caller.is_ended);
            CHECK(server.http_server->is_idle());
            CHECK(server.handled == 0);
        }
    }
    WHEN("a part of a chunked body has arrived, and more follows") {
        REQUIRE(caller.send(refused + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"));
        REQUIRE(server.receives(caller, "refused\n"));
        caller.send("5\r\nhello\r\n0\r\n\r\n");
        server.run_for(std::chrono::milliseconds(1500));
        THEN("there is one response") {
            caller.read();
            CHECK(caller.received.find("HTTP/1.1") == caller.received.rfind("HTTP/1.1"));
            CHECK(server.http_server->is_idle());
            CHECK(server.handled == 0);
        }
    }
    WHEN("it waits for permission to send its body") {
        REQUIRE(caller.send(refused + "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"));
        THEN("it gets the refusal instead") {
            REQUIRE(server.receives(caller, "refused\n"));
            CHECK(caller.received.starts_with("HTTP/1.1 401 "));
        }
    }
    WHEN("it has no body") {
        REQUIRE(caller.send("GET / HTTP/1.1\r\nHost: a\r\nRefuse: yes\r\n\r\n"));
        REQUIRE(server.receives(caller, "refused\n"));
        THEN("the connection goes on, with a request that is not refused") {
            REQUIRE(caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"));
            CHECK(server.receives(caller, "\r\n\r\nhello"));
            CHECK(server.handled == 1);
        }
    }
}
