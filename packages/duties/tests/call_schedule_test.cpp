#include "duties/call_schedule.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::duties;
using namespace std::chrono_literals;

namespace {

scale_order order(const char* domain, int desired) {
    return {backend_name("s"), failure_domain_id(domain), desired, false};
}

usage_report usage(std::uint64_t window) {
    return {window, {}};
}

} // namespace

// Guards against two calls about one subject at a time, whose order of arrival is not known, and
// against more calls than the platform accepts.
TEST_CASE("the schedule of calls to the platform") {
    call_schedule schedule({25ms, 200ms, 1s});
    time_point now(10s);
    const auto take = [&] {
        now += 25ms;
        return schedule.take_due(now);
    };

    SUBCASE("calls start at the platform's rate") {
        schedule.add(order("a", 1), now);
        schedule.add(order("b", 1), now);
        CHECK(schedule.take_due(now) == 1);
        CHECK_FALSE(schedule.take_due(now));
        CHECK(schedule.next_wakeup() == now + 25ms);
        CHECK(take() == 2);
    }
    SUBCASE("usage reports are sent one at a time, in order of their windows, before orders") {
        schedule.add(order("a", 1), now);
        schedule.add(usage(7), now);
        schedule.add(usage(8), now);
        CHECK(take() == 2);
        CHECK(take() == 1);
        CHECK_FALSE(take());

        SUBCASE("also while the first one has to be repeated") {
            CHECK_FALSE(schedule.end_attempt(2, call_outcome::busy, now));
            CHECK_FALSE(take());
            now += 200ms;
            CHECK(take() == 2);
            CHECK(schedule.end_attempt(2, call_outcome::accepted, now));
            CHECK(take() == 3);
        }
    }
    SUBCASE("a call without an answer is repeated with backoff") {
        schedule.add(order("a", 1), now);
        for (const duration backoff : {200ms, 400ms, 800ms, 1000ms, 1000ms}) {
            REQUIRE(take() == 1);
            CHECK_FALSE(schedule.end_attempt(1, call_outcome::unknown, now));
            CHECK(schedule.next_wakeup() == now + backoff);
            now += backoff;
        }
        REQUIRE(take() == 1);
        CHECK(schedule.end_attempt(1, call_outcome::none_available, now));
        CHECK(schedule.size() == 0);
    }
    SUBCASE("a later order replaces one that waits") {
        schedule.add(order("a", 1), now);
        CHECK(schedule.add(order("a", 2), now).replaced == 1);
        CHECK(take() == 2);
        CHECK_FALSE(take());
    }
    SUBCASE("a later order waits for the end of one in flight, which is not repeated") {
        schedule.add(order("a", 1), now);
        CHECK(take() == 1);
        CHECK(schedule.add(order("a", 2), now).replaced == 1);
        CHECK_FALSE(take());
        CHECK(schedule.end_attempt(1, call_outcome::unknown, now));
        CHECK(take() == 2);
    }
    SUBCASE("a later order does not shorten the backoff") {
        schedule.add(order("a", 1), now);
        CHECK(take() == 1);
        CHECK_FALSE(schedule.end_attempt(1, call_outcome::busy, now));
        schedule.add(order("a", 2), now);
        CHECK(schedule.next_wakeup() == now + 200ms);
    }
}
