#include "admission/drain_rate.h"
#include "admission/fair_queue.h"
#include "admission/retry_budget.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::admission;
using namespace std::chrono_literals;

namespace {

queued_request request(std::uint64_t id, const char* caller, duration deadline = 1h) {
    return {request_id(id), caller_id(caller), time_point(deadline)};
}

std::uint64_t take(fair_queue& queue) {
    const auto id = queue.front().id.value();
    queue.pop();
    return id;
}

} // namespace

SCENARIO("callers share a queue fairly") {
    GIVEN("a caller with many requests and one with a single later request") {
        fair_queue queue(10);
        REQUIRE(queue.push(request(1, "greedy")));
        REQUIRE(queue.push(request(2, "greedy")));
        REQUIRE(queue.push(request(3, "greedy")));
        REQUIRE(queue.push(request(4, "modest")));
        WHEN("room comes") {
            THEN("they take turns, each in its own order") {
                CHECK(take(queue) == 1);
                CHECK(take(queue) == 4);
                CHECK(take(queue) == 2);
                CHECK(take(queue) == 3);
                CHECK(queue.empty());
            }
        }
        WHEN("one is withdrawn") {
            CHECK(queue.remove(request_id(4)));
            CHECK_FALSE(queue.remove(request_id(4)));
            THEN("the others stay") {
                CHECK(queue.size() == 3);
                CHECK(take(queue) == 1);
                CHECK(take(queue) == 2);
            }
        }
    }
    GIVEN("a full queue") {
        fair_queue queue(1);
        REQUIRE(queue.push(request(1, "a")));
        THEN("one more is refused") {
            CHECK_FALSE(queue.push(request(2, "b")));
        }
    }
    GIVEN("requests with deadlines") {
        fair_queue queue(10);
        REQUIRE(queue.push(request(1, "a", 1s)));
        REQUIRE(queue.push(request(2, "a", 9s)));
        REQUIRE(queue.push(request(3, "b", 2s)));
        WHEN("time passes") {
            const auto expired = queue.take_expired(time_point(2s));
            THEN("exactly the late ones are taken out") {
                CHECK(expired == std::vector<request_id>{request_id(1), request_id(3)});
                CHECK(queue.size() == 1);
                CHECK(take(queue) == 2);
            }
        }
    }
}

SCENARIO("retries stay a share of the work") {
    GIVEN("a budget of a tenth that has been used up") {
        retry_budget budget(0.1, 2);
        REQUIRE(budget.spend());
        REQUIRE(budget.spend());
        REQUIRE_FALSE(budget.spend());
        WHEN("eleven more requests come") {
            for (int i = 0; i < 11; ++i) {
                budget.earn();
            }
            THEN("one more retry may be made") {
                CHECK(budget.spend());
                CHECK_FALSE(budget.spend());
            }
        }
    }
}

SCENARIO("the wait in a queue is foreseen from its departures") {
    drain_rate rate;
    CHECK(rate.expected_wait(5) == duration{});
    rate.observe_departure(time_point(1s));
    rate.observe_departure(time_point(1100ms));
    CHECK(rate.expected_wait(5) == 500ms);
}
