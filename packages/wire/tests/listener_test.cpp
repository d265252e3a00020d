#include "task/event_loop.h"
#include "task/tests/connection_burst.h"
#include "wire/listener.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <variant>

using namespace kingcupcart;
using namespace kingcupcart::wire;
using namespace std::chrono_literals;

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
            task::connection_burst connections(listening->address(), 249);
            THEN("all are connected before it accepts any") {
                CHECK(connections.established_within(500ms) == 249);
                CHECK(accepted == 0);
            }
        }
        loop.leave();
    }
}
