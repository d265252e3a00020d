#include "relaying/tests/relaying_fleet.h"
#include "wire/codec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::relaying;
using namespace std::chrono_literals;

namespace {

/// Added latency of a relayed call between neighbours on loopback.
constexpr duration max_median = 5ms;

} // namespace

SCENARIO("a relayed call costs little beside its content") {
    relaying_fleet fleet;
    test_relay& relay = fleet.add_relay("r1");

    GIVEN("calls one after the other over an open link") {
        fleet.client->prepare(backend_name("app"));
        REQUIRE(fleet.run_until([&] { return fleet.metric("relay_links_open") == 1; }));
        std::vector<duration> taken;
        for (std::size_t i = 0; i < 201; ++i) {
            const time_point begin = fleet.time.now();
            auto call = fleet.start(make_request("call"));
            REQUIRE(fleet.run_until([&] { return relay.calls.size() == i + 1; }));
            relay.calls.back().exchange->respond({200, "text/plain", {}}, "answer");
            REQUIRE(fleet.run_until([&] { return call->result.has_value(); }));
            taken.push_back(fleet.time.now() - begin);
        }
        THEN("the hop there and back takes less than the time allowed for it") {
            std::sort(taken.begin(), taken.end());
            const duration median = taken[taken.size() / 2];
            MESSAGE("median of a hop there and back in us ", median / 1us);
            CHECK(median < max_median);
        }
    }
    GIVEN("the messages of a call without headers and bodies") {
        wire::relayed_call_request request = make_request("6ea9031843af1afb", "");
        request.headers.clear();
        const std::size_t there = wire::encode(request).size();
        const std::size_t back =
            wire::encode(wire::relayed_response_head{1, 200, "", {}, true}).size() +
            wire::encode(wire::relayed_response_end{1}).size();
        const std::size_t event = wire::encode(wire::relayed_response_data{1, ""}).size();
        const std::size_t taken = wire::encode(wire::relayed_data_taken{1, 8192}).size();
        THEN("they are small") {
            MESSAGE("bytes of a request ", there, ", of a response ", back, ", of each event ",
                    event, ", of an acknowledgement ", taken);
            CHECK(there < 100);
            CHECK(back < 40);
            CHECK(event < 16);
            CHECK(taken < 16);
        }
    }
}
