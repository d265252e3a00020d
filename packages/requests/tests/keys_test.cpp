#include "requests/key_registry.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::requests;
using namespace std::chrono_literals;

SCENARIO("an issued key contains its owner") {
    issued_key key{instance_id("got-a1.entry.1"), incarnation_id(99), 7, time_point(5s)};
    CHECK(issued_key::parse(key.to_idempotency_key().value()) == key);
    for (const char* text : {"", "kc1.", "kc1.1.2.x.y", "kc1.1.2.3.", "booking-17", "kc1.1.2"}) {
        CHECK_FALSE(issued_key::parse(text));
    }
}

SCENARIO("a key runs its request at most once") {
    key_registry keys(instance_id("a"), incarnation_id(1), 10min, 1000);
    const time_point start(1h);
    const issued_key issued = keys.issue(start);
    const idempotency_key key = issued.to_idempotency_key();
    CHECK(keys.is_owner_of(issued));
    REQUIRE(keys.begin(key, 5, request_id(1), start, start).state == key_state::started);
    GIVEN("a resent request while the first one runs") {
        const auto again = keys.begin(key, 5, request_id(2), start, start + 1s);
        CHECK(again.state == key_state::running);
        CHECK(again.request == request_id(1));
    }
    GIVEN("a resent request after the response") {
        keys.finish(key, {outcome_kind::answered, "", 201, {}, "booked"});
        const auto again = keys.begin(key, 5, request_id(2), start, start + 1s);
        REQUIRE(again.state == key_state::finished);
        CHECK(again.response->body == "booked");
        WHEN("a different request arrives with the same key") {
            CHECK(keys.begin(key, 6, request_id(2), start, start).state == key_state::mismatched);
        }
        WHEN("the key has expired") {
            THEN("the request is refused and not run again") {
                CHECK(keys.begin(key, 5, request_id(2), start, start + 10min).state ==
                      key_state::expired);
                CHECK(keys.size() == 0);
            }
        }
    }
    GIVEN("a run that lasts longer than the key is valid") {
        CHECK(keys.begin(key, 5, request_id(2), start, start + 1h).state == key_state::running);
    }
    GIVEN("a request that was abandoned before it ran") {
        keys.release(key);
        CHECK(keys.begin(key, 5, request_id(2), start, start + 1s).state == key_state::started);
    }
    GIVEN("no memory for another outcome") {
        keys.finish(key, {outcome_kind::answered, "", 200, {}, std::string(2000, 'x')});
        const idempotency_key next = keys.issue(start).to_idempotency_key();
        CHECK(keys.begin(next, 1, request_id(2), start, start).state == key_state::full);
        THEN("a new key is accepted after the oldest one has expired") {
            const time_point later = start + 10min;
            CHECK(keys.begin(next, 1, request_id(2), later, later).state == key_state::started);
        }
    }
}
