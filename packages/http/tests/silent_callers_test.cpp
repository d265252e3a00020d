#include "base/system_clock.h"
#include "http/caller_budget.h"
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
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr std::size_t response_bytes = 4UL * 1024 * 1024;
constexpr std::size_t budget_bytes = 16UL * 1024 * 1024;
constexpr std::int64_t body_limit = 16LL * 1024 * 1024;

/// A caller that reads of its response what the test says. Its system takes little for it.
class slow_caller {
public:
    explicit slow_caller(const endpoint& server)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        constexpr int receive_buffer_bytes = 16 * 1024;
        setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof(receive_buffer_bytes));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        connect(this->socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    }
    ~slow_caller() { close(this->socket); }
    slow_caller(const slow_caller&) = delete;
    slow_caller& operator=(const slow_caller&) = delete;

    /// Sends as much as the server's system takes now; returns the bytes that it took.
    std::size_t send(std::string_view bytes) {
        const ssize_t size =
            ::send(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        this->is_closed = this->is_closed || (size < 0 && errno != EAGAIN);
        return size > 0 ? static_cast<std::size_t>(size) : 0;
    }
    /// Reads 4 KiB at most.
    void read_some() {
        std::array<char, 4UL * 1024> part{};
        const ssize_t size = recv(this->socket, part.data(), part.size(), MSG_DONTWAIT);
        if (size > 0) {
            this->received += static_cast<std::size_t>(size);
        }
        this->is_closed = this->is_closed || size == 0 || (size < 0 && errno != EAGAIN);
    }
    /// Whether the server has closed the connection, as its caller notices without reading.
    [[nodiscard]] bool is_cut() const {
        int problem = 0;
        socklen_t size = sizeof(problem);
        getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &problem, &size);
        return problem != 0;
    }
    [[nodiscard]] std::size_t received_bytes() const { return this->received; }
    [[nodiscard]] bool has_ended() const { return this->is_closed; }

private:
    int socket;
    std::size_t received = 0;
    bool is_closed = false;
};

/// A server with a budget that answers each request at once with a whole response.
struct answering_server {
    system_clock time;
    task::event_loop loop;
    std::shared_ptr<caller_budget> budget;
    std::unique_ptr<server> http_server;
    std::unique_ptr<task::wakeup> timeout;
    std::size_t answered = 0;

    answering_server() {
        this->loop.enter();
        this->budget = std::make_shared<caller_budget>(this->time, budget_bytes);
        this->timeout = std::make_unique<task::wakeup>([this] { this->loop.quit(); });
        auto opened = value_or_error([&] {
            return server::open(
                endpoint{"127.0.0.1", 0}, body_limit,
                [this](std::unique_ptr<exchange> received) {
                    ++this->answered;
                    received->respond(200, "text/plain", std::string(response_bytes, 'x'));
                },
                this->budget);
        });
        this->http_server = std::move(std::get<std::unique_ptr<server>>(opened));
    }
    ~answering_server() {
        this->http_server.reset();
        while (g_main_context_iteration(this->loop.context(), FALSE) != FALSE) {
        }
        this->budget.reset();
        this->timeout.reset();
        this->loop.leave();
    }
    answering_server(const answering_server&) = delete;
    answering_server& operator=(const answering_server&) = delete;

    void run_for(duration time_to_run) {
        this->timeout->arm(this->time.now() + time_to_run);
        this->loop.run();
    }

    /// A caller whose response waits to be sent.
    std::unique_ptr<slow_caller> add_caller() {
        auto added = std::make_unique<slow_caller>(this->http_server->address());
        added->send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::size_t before = this->answered;
        for (int i = 0; i < 100 && this->answered == before; ++i) {
            this->run_for(std::chrono::milliseconds(5));
        }
        return added;
    }

    /// Sends as long as the connection is open.
    void send_all(slow_caller& caller, std::string_view bytes) {
        while (!bytes.empty() && !caller.has_ended()) {
            bytes.remove_prefix(caller.send(bytes));
            this->run_for(std::chrono::milliseconds(1));
        }
    }

    /// A caller that has sent a part of a body that is twice as long.
    std::unique_ptr<slow_caller> add_sender(std::size_t part_bytes) {
        auto added = std::make_unique<slow_caller>(this->http_server->address());
        added->send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                    std::to_string(2 * part_bytes) + "\r\n\r\n");
        this->send_all(*added, std::string(part_bytes, 'x'));
        return added;
    }

    std::vector<std::unique_ptr<slow_caller>> add_callers(std::size_t count) {
        std::vector<std::unique_ptr<slow_caller>> added;
        for (std::size_t i = 0; i < count; ++i) {
            added.push_back(this->add_caller());
        }
        return added;
    }
};

} // namespace

// Each whole response stayed in the server's buffers for as long as its caller read nothing and
// kept the connection, and nothing bounded all of them together.
SCENARIO("whole responses that callers do not read are held in memory up to a limit") {
    answering_server server;
    GIVEN("three callers that read nothing of 4 MiB each") {
        const auto silent = server.add_callers(3);
        REQUIRE(server.budget->held_bytes() == 3 * response_bytes);
        server.run_for(std::chrono::milliseconds(600));
        THEN("they stay connected while the budget suffices") {
            CHECK(server.budget->cut_count() == 0);
            CHECK_FALSE(server.http_server->is_idle());
        }
        WHEN("nine more come") {
            const auto later = server.add_callers(9);
            server.run_for(std::chrono::milliseconds(50));
            THEN("no more is held than the budget, and the first callers are cut") {
                CHECK(server.answered == 12);
                CHECK(server.budget->held_bytes() <= budget_bytes);
                CHECK(server.budget->peak_bytes() <= budget_bytes + response_bytes);
                CHECK(server.budget->cut_count() == 8);
                for (const auto& caller : silent) {
                    CHECK(caller->is_cut());
                }
                CHECK_FALSE(later.back()->is_cut());
            }
        }
        WHEN("a caller that reads slowly comes, and then five more that read nothing") {
            const auto reader = server.add_caller();
            std::vector<std::unique_ptr<slow_caller>> later;
            constexpr int rounds = 100;
            constexpr int rounds_per_caller = 15;
            for (int i = 0; i < rounds; ++i) {
                reader->read_some();
                server.run_for(std::chrono::milliseconds(20));
                if (i % rounds_per_caller == rounds_per_caller - 1 && later.size() < 5) {
                    later.push_back(server.add_caller());
                }
            }
            THEN("it gets its whole response, and others are cut") {
                CHECK(server.budget->cut_count() == 5);
                while (!reader->has_ended() && reader->received_bytes() < response_bytes) {
                    for (int i = 0; i < rounds; ++i) {
                        reader->read_some();
                    }
                    server.run_for(std::chrono::milliseconds(1));
                }
                CHECK(reader->received_bytes() >= response_bytes);
                for (const auto& caller : silent) {
                    CHECK(caller->is_cut());
                }
            }
        }
    }
}

// The limit of a request's body was one for each request, and none for all that arrive together.
SCENARIO("requests that do not end are held in memory up to a limit") {
    constexpr std::size_t part_bytes = 5UL * 1024 * 1024;
    answering_server server;
    GIVEN("three callers that sent 5 MiB of a body and stopped, and one that sends on") {
        std::vector<std::unique_ptr<slow_caller>> stopped;
        for (int i = 0; i < 3; ++i) {
            stopped.push_back(server.add_sender(part_bytes));
        }
        auto sender = server.add_sender(part_bytes / 2);
        // One MiB of the budget is left, which the last one has exceeded.
        CHECK(server.budget->cut_count() == 1);
        WHEN("two more come while it sends slowly") {
            constexpr std::size_t small_part = 16UL * 1024;
            constexpr std::size_t sent_slowly = 1024UL * 1024;
            for (std::size_t sent = 0; sent < sent_slowly; sent += small_part) {
                server.send_all(*sender, std::string(small_part, 'x'));
                server.run_for(std::chrono::milliseconds(10));
            }
            const auto next = server.add_sender(part_bytes);
            server.send_all(*sender, std::string(small_part, 'x'));
            const auto last = server.add_sender(part_bytes);
            THEN("those that stopped are cut, and its request is answered") {
                CHECK(server.budget->held_bytes() <= budget_bytes);
                CHECK(server.budget->peak_bytes() <= budget_bytes + small_part);
                CHECK_FALSE(sender->has_ended());
                server.send_all(*sender,
                                std::string(part_bytes / 2 - sent_slowly - small_part, 'x'));
                for (int i = 0; i < 100 && server.answered == 0; ++i) {
                    server.run_for(std::chrono::milliseconds(5));
                }
                CHECK(server.answered == 1);
                for (const auto& caller : stopped) {
                    CHECK(caller->is_cut());
                }
            }
        }
    }
}
