#include "admission/drain_rate.h"
#include "admission/duration_estimate.h"
#include "admission/fair_queue.h"
#include "admission/retry_budget.h"

#include <doctest/doctest.h>

#include <string>

using namespace kingcupcart;
using namespace kingcupcart::admission;
using namespace std::chrono_literals;

namespace {

queued_request request(std::uint64_t id, const char* caller, duration deadline = 1h) {
    return {request_id(id), caller_id(caller), time_point(deadline)};
}

std::uint64_t pop_id(fair_queue& queue) {
    const auto id = queue.front().id.value();
    queue.pop();
    return id;
}

} // namespace

// A surge of one account filled the queue, so that the requests of all others were refused or late.
SCENARIO("accounts share a queue fairly") {
    GIVEN("a queue in which one account of many callers has as many requests as it may") {
        fair_queue queue(8);
        const auto of = [](std::uint64_t id, const char* account) {
            return queued_request{request_id(id), caller_id(std::to_string(id)), time_point(1h),
                                  account_name(account)};
        };
        std::uint64_t accepted = 0;
        while (queue.push(of(accepted + 1, "large"))) {
            ++accepted;
        }
        REQUIRE(accepted == 6);
        THEN("a small account has room, waits for one request of the large one, and alternates") {
            CHECK(queue.places_before(account_name("small")) == 1);
            REQUIRE(queue.push(of(10, "small")));
            REQUIRE(queue.push(of(11, "small")));
            CHECK(pop_id(queue) == 1);
            CHECK(pop_id(queue) == 10);
            CHECK(pop_id(queue) == 2);
            CHECK(pop_id(queue) == 11);
            CHECK(pop_id(queue) == 3);
            CHECK(queue.size() == 3);
        }
    }
}

SCENARIO("callers share a queue fairly") {
    GIVEN("one caller with many requests and another with a single later request") {
        fair_queue queue(10);
        REQUIRE(queue.push(request(1, "greedy")));
        REQUIRE(queue.push(request(2, "greedy")));
        REQUIRE(queue.push(request(3, "greedy")));
        REQUIRE(queue.push(request(4, "modest")));
        WHEN("the requests are taken from the queue") {
            THEN("callers alternate and each caller's requests stay in order") {
                CHECK(pop_id(queue) == 1);
                CHECK(pop_id(queue) == 4);
                CHECK(pop_id(queue) == 2);
                CHECK(pop_id(queue) == 3);
                CHECK(queue.empty());
            }
        }
        WHEN("a request is removed") {
            CHECK(queue.remove(request_id(4)));
            CHECK_FALSE(queue.remove(request_id(4)));
            THEN("the other requests stay queued") {
                CHECK(queue.size() == 3);
                CHECK(pop_id(queue) == 1);
                CHECK(pop_id(queue) == 2);
            }
        }
    }
    GIVEN("a full queue") {
        fair_queue queue(1);
        REQUIRE(queue.push(request(1, "a")));
        THEN("a further request is rejected") {
            CHECK_FALSE(queue.push(request(2, "b")));
        }
    }
    GIVEN("requests with deadlines") {
        fair_queue queue(10);
        REQUIRE(queue.push(request(1, "a", 1s)));
        REQUIRE(queue.push(request(2, "a", 9s)));
        REQUIRE(queue.push(request(3, "b", 2s)));
        WHEN("some of the deadlines have been reached") {
            const auto expired = queue.remove_expired(time_point(2s));
            THEN("exactly the expired requests are removed") {
                CHECK(expired == std::vector<request_id>{request_id(1), request_id(3)});
                CHECK(queue.size() == 1);
                CHECK(pop_id(queue) == 2);
            }
        }
    }
}

SCENARIO("retries are limited to a share of the requests") {
    GIVEN("a budget of one retry per ten requests that has been used up") {
        retry_budget budget(0.1, 2);
        REQUIRE(budget.try_withdraw());
        REQUIRE(budget.try_withdraw());
        REQUIRE_FALSE(budget.try_withdraw());
        WHEN("eleven more requests arrive") {
            for (int i = 0; i < 11; ++i) {
                budget.deposit();
            }
            THEN("exactly one more retry is allowed") {
                CHECK(budget.try_withdraw());
                CHECK_FALSE(budget.try_withdraw());
            }
        }
    }
}

SCENARIO("the wait in a queue is estimated from its departures") {
    drain_rate rate;
    CHECK(rate.expected_wait(5) == duration{});
    rate.observe_departure(time_point(1s));
    rate.observe_departure(time_point(1100ms));
    CHECK(rate.expected_wait(5) == 500ms);
}

SCENARIO("the time of a run is estimated from earlier runs") {
    duration_estimate estimate;
    CHECK_FALSE(estimate.upper_bound());
    GIVEN("a few long runs among short ones") {
        for (int i = 0; i < 100; ++i) {
            estimate.observe(i % 10 == 0 ? 500ms : 100ms);
            if (i > 10) {
                CHECK(*estimate.upper_bound() == 500ms);
            }
        }
        WHEN("runs stay short") {
            for (int i = 0; i < 100; ++i) {
                estimate.observe(100ms);
            }
            THEN("the estimate follows") {
                CHECK(*estimate.upper_bound() == 100ms);
            }
        }
    }
}
