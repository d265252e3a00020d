#include "http/exchange.h"
#include "http/server.h"
#include "task/event_loop.h"
#include "task/tests/connection_burst.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>

using namespace kingcupcart;
using namespace kingcupcart::http;
using namespace std::chrono_literals;

// Guards against callers that wait seconds for the kernel's next attempt to connect, when all of
// them come back at once after an outage.
SCENARIO("a server takes the connections of a whole fleet's callers at once") {
    GIVEN("a server whose event loop is busy") {
        constexpr std::int64_t body_limit = 1000;
        task::event_loop loop;
        loop.enter();
        auto opened = value_or_error([&] {
            return server::open({"127.0.0.1", 0}, body_limit, [](std::unique_ptr<exchange>) {});
        });
        REQUIRE(std::holds_alternative<std::unique_ptr<server>>(opened));
        const auto& http_server = std::get<std::unique_ptr<server>>(opened);
        WHEN("249 callers connect") {
            task::connection_burst connections(http_server->address(), 249);
            THEN("all are connected before it accepts any") {
                CHECK(connections.established_within(500ms) == 249);
            }
        }
        loop.leave();
    }
}
