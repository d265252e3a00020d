#include "task/event_loop.h"
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
