#include "http/listening_check.h"

#include "base/system_clock.h"
#include "http/tests/loopback_listener.h"
#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <thread>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::http;

namespace {

constexpr duration max_time = std::chrono::milliseconds(300);

/// The process is held up for `delay` once the connection is being opened.
std::optional<listening_check::result> check_address(const endpoint& address,
                                                     duration delay = duration::zero()) {
    system_clock time;
    task::event_loop loop;
    loop.enter();
    std::optional<listening_check::result> found;
    {
        listening_check check(time, address, max_time, [&](listening_check::result result) {
            found = result;
            loop.quit();
        });
        std::this_thread::sleep_for(delay);
        loop.run();
    }
    loop.leave();
    return found;
}

} // namespace

SCENARIO("a check of an address tells a process that ended from one that can't be reached") {
    GIVEN("a process that listens and accepts nothing") {
        const loopback_listener listener = loopback_listener::open();
        WHEN("it runs") {
            THEN("it is found listening") {
                CHECK(check_address(listener.bound) == listening_check::result::listening);
            }
            close(listener.socket);
        }
        // A gateway whose event loop was late took each probe of a sound path for a failed one.
        WHEN("this process is held up for longer than the time limit") {
            THEN("it is found listening") {
                CHECK(check_address(listener.bound, 2 * max_time) ==
                      listening_check::result::listening);
            }
            close(listener.socket);
        }
        WHEN("it has ended") {
            close(listener.socket);
            THEN("connections are refused") {
                CHECK(check_address(listener.bound) == listening_check::result::refused);
                CHECK(check_address(listener.bound, 2 * max_time) ==
                      listening_check::result::refused);
            }
        }
    }
    GIVEN("a host that answers no attempt to connect") {
        const loopback_listener listener = loopback_listener::open();
        // The kernel drops further attempts once the queue of unaccepted connections is full.
        listen(listener.socket, 0);
        std::vector<int> sockets;
        for (int i = 0; i < 4; ++i) {
            sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            address.sin_port = htons(listener.bound.port);
            connect(sockets.back(), reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        }
        THEN("nothing is known after the time limit") {
            const time_point begin = std::chrono::steady_clock::now();
            CHECK(check_address(listener.bound) == listening_check::result::unknown);
            CHECK(std::chrono::steady_clock::now() - begin < 10 * max_time);
        }
        for (const int opened : sockets) {
            close(opened);
        }
        close(listener.socket);
    }
    GIVEN("an address that is none") {
        THEN("nothing is known") {
            CHECK(check_address(endpoint{"no address", 9}) == listening_check::result::unknown);
        }
    }
}
