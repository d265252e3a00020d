#include "task/event_loop.h"
#include "task/listening_socket.h"
#include "wire/listener.h"
#include "wire/messages.h"
#include "wire/peer_link.h"

#include <doctest/doctest.h>

#include <malloc.h>

#include <cstddef>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::wire;

namespace {

std::size_t allocated_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// Guards against a store that ends by its memory limit: the link to each gateway kept the memory of
// the largest response that it had ever sent.
SCENARIO("a link that has sent a large message does not keep its memory") {
    constexpr std::size_t link_count = 20;
    constexpr std::size_t body_size = 700UL * 1000;
    task::event_loop loop;
    loop.enter();
    GIVEN("links that other instances opened") {
        std::vector<std::unique_ptr<peer_link>> accepted;
        std::vector<std::unique_ptr<peer_link>> dialled;
        std::size_t received = 0;
        auto opened = value_or_error([&] {
            return listener::open({"127.0.0.1", 0}, [&](GSocketConnection* connection) {
                accepted.push_back(peer_link::accept(
                    connection, {[] {}, [](const message&) {}, [](const std::string&) {}}));
                if (accepted.size() == link_count) {
                    loop.quit();
                }
            });
        });
        REQUIRE(std::holds_alternative<std::unique_ptr<listener>>(opened));
        const auto& listening = std::get<std::unique_ptr<listener>>(opened);
        std::size_t open_count = 0;
        for (std::size_t i = 0; i < link_count; ++i) {
            dialled.push_back(peer_link::dial(listening->address(), {[&] {
                                                                         if (++open_count ==
                                                                             link_count) {
                                                                             loop.quit();
                                                                         }
                                                                     },
                                                                     [&](const message&) {
                                                                         ++received;
                                                                         loop.quit();
                                                                     },
                                                                     [](const std::string&) {}}));
        }
        while (open_count < link_count || accepted.size() < link_count) {
            loop.run();
        }
        WHEN("a large message is sent over one after the other") {
            const std::size_t allocated_before = allocated_bytes();
            for (const auto& link : accepted) {
                batch_response response;
                response.body = std::string(body_size, 'b');
                const std::size_t expected = received + 1;
                REQUIRE(link->send(response));
                while (received < expected) {
                    loop.run();
                }
            }
            THEN("the links hold the memory of a few of them at most") {
                CHECK(allocated_bytes() < allocated_before + 4 * body_size);
            }
        }
    }
    loop.leave();
}

// Guards against a process that grows with each instance that it dials in vain: the session of a
// link whose handshake was not complete held itself.
SCENARIO("a link that is given up during its handshake leaves no memory behind") {
    constexpr std::size_t link_count = 100;
    constexpr std::size_t max_left_per_link = 1000;
    task::event_loop loop;
    loop.enter();
    GIVEN("an instance that accepts connections and never answers") {
        auto silent = task::listening_socket::open({"127.0.0.1", 0});
        REQUIRE(silent);
        const auto dial_and_give_up = [&] {
            auto link = peer_link::dial(silent->bound,
                                        {[] {}, [](const message&) {}, [](const std::string&) {}});
            // Until the request of the handshake was sent.
            while (link->bytes_sent() == 0) {
                g_main_context_iteration(loop.context(), TRUE);
            }
            link.reset();
            while (g_main_context_iteration(loop.context(), FALSE) != FALSE) {
            }
        };
        dial_and_give_up();
        const std::size_t before = allocated_bytes();
        WHEN("many links to it are given up") {
            for (std::size_t i = 0; i < link_count; ++i) {
                dial_and_give_up();
            }
            THEN("the memory that is used does not grow") {
                CHECK(allocated_bytes() < before + link_count * max_left_per_link);
            }
        }
    }
    loop.leave();
}
