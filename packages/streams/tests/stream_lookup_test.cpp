#include "base/manual_clock.h"
#include "streams/record_limits.h"
#include "streams/stream_lookup.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::streams;
using namespace std::chrono_literals;

namespace {

using keepers = std::vector<instance_id>;

const instance_id k1("k1");
const instance_id k2("k2");
const instance_id k3("k3");
const instance_id k4("k4");

} // namespace

SCENARIO("a lookup of a stream asks the keepers") {
    manual_clock time;
    time.advance(1h);
    const lookup_order order{{k1, k2}, {k3, k4}};
    stream_lookup lookup(order, time.now(), time.now() + 5s);
    const stream_record known{stream_id("a"), backend_name("chat"), software_version("v1"), 10s,
                              1s};
    const auto ask = [&] { return lookup.take_due(time.now()); };
    const auto outcome = [&] { return lookup.result(time.now())->outcome; };

    CHECK(ask() == keepers{k1, k2});
    CHECK(ask().empty());
    CHECK(!lookup.result(time.now()));

    WHEN("a likely holder knows the stream") {
        lookup.record_answer(k2, known);
        THEN("the stream is found, and the other answers change nothing") {
            lookup.record_answer(k1, std::nullopt);
            CHECK(outcome() == lookup_outcome::found);
            CHECK(lookup.result(time.now())->record == known);
            CHECK(lookup.result(time.now())->source == k2);
        }
    }
    WHEN("a likely holder says that the version is unknown") {
        stream_record unknown = known;
        unknown.software.reset();
        lookup.record_answer(k1, unknown);
        THEN("that is the answer") {
            CHECK(outcome() == lookup_outcome::version_unknown);
        }
    }
    WHEN("one of the likely holders does not know it") {
        lookup.record_answer(k1, std::nullopt);
        THEN("the other one is waited for") {
            CHECK(ask().empty());
            CHECK(!lookup.result(time.now()));
        }
    }
    WHEN("no likely holder knows it") {
        lookup.record_answer(k1, std::nullopt);
        lookup.record_answer(k2, std::nullopt);
        CHECK(ask() == keepers{k3, k4});
        CHECK(!lookup.result(time.now()));
        THEN("another keeper may know it") {
            lookup.record_answer(k4, known);
            CHECK(outcome() == lookup_outcome::found);
        }
        THEN("it is unknown once all keepers have answered") {
            lookup.record_answer(k3, std::nullopt);
            CHECK(!lookup.result(time.now()));
            lookup.record_answer(k4, std::nullopt);
            CHECK(outcome() == lookup_outcome::stream_unknown);
        }
    }
    WHEN("the likely holders do not answer") {
        CHECK(lookup.next_wakeup() == time.now() + duration(likely_answer_time));
        time.advance(likely_answer_time);
        THEN("the others are asked") {
            CHECK(ask() == keepers{k3, k4});
            lookup.record_answer(k3, known);
            CHECK(outcome() == lookup_outcome::found);
        }
        AND_WHEN("the others do not know it") {
            CHECK(ask() == keepers{k3, k4});
            lookup.record_answer(k3, std::nullopt);
            lookup.record_answer(k4, std::nullopt);
            THEN("it is not decided before the time for a lookup is over") {
                CHECK(!lookup.result(time.now()));
                time.advance(max_lookup_time - likely_answer_time);
                CHECK(outcome() == lookup_outcome::unanswered);
            }
        }
    }
    WHEN("the links to the likely holders are lost") {
        lookup.record_lost(k1);
        lookup.record_lost(k2);
        THEN("the others are asked at once, and their answers decide") {
            CHECK(ask() == keepers{k3, k4});
            lookup.record_answer(k3, std::nullopt);
            lookup.record_answer(k4, std::nullopt);
            CHECK(outcome() == lookup_outcome::unanswered);
        }
    }
    WHEN("the caller waits for less time than a lookup may take") {
        stream_lookup hurried(order, time.now(), time.now() + 50ms);
        CHECK(hurried.take_due(time.now()) == keepers{k1, k2});
        CHECK(hurried.next_wakeup() == time.now() + 50ms);
        time.advance(50ms);
        THEN("it ends in time") {
            CHECK(hurried.result(time.now())->outcome == lookup_outcome::unanswered);
        }
    }
    WHEN("no keeper can be asked") {
        stream_lookup isolated({}, time.now(), time.now() + 5s);
        THEN("it ends at once") {
            CHECK(isolated.take_due(time.now()).empty());
            CHECK(isolated.result(time.now())->outcome == lookup_outcome::unanswered);
        }
    }
}
