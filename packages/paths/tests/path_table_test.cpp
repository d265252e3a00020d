#include "base/manual_clock.h"
#include "paths/path_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::paths;
using namespace std::chrono_literals;

// A connection that hung while it was opened was told by nothing, so an instance that had lost all
// its targets sent each call to the same ones until its deadline.
SCENARIO("an instance notices that it is cut off from a backend") {
    manual_clock time;
    time.advance(1h);
    const backend_name app("app");
    path_table table({}, 1);
    const auto target = [](int number) { return target_id("t" + std::to_string(number)); };
    for (int i = 0; i < 5; ++i) {
        table.update_target(target(i), app, false);
        table.record_open(target(i), 5ms, time.now());
    }
    const auto lose = [&](int number) {
        time.advance(100ms);
        table.record_lost(target(number), path_evidence::open_timed_out, time.now());
    };

    GIVEN("two targets whose connections don't open, one after the other") {
        lose(0);
        CHECK(!table.is_cut_off(app, time.now()));
        lose(1);
        THEN("the instance is cut off from all of them") {
            CHECK(table.is_cut_off(app, time.now()));
            CHECK(table.cut_off_backends(time.now()) == std::vector{app});
        }
        AND_WHEN("a connection to a third one opens") {
            time.advance(1s);
            const auto regained = table.record_open(target(2), 5ms, time.now());
            THEN("the others count as unknown again") {
                CHECK(regained.size() == 2);
                CHECK(!table.is_cut_off(app, time.now()));
                CHECK(!table.is_lost(target(0), time.now()));
            }
        }
        AND_WHEN("nothing more is heard for the age of evidence") {
            time.advance(11s);
            THEN("the belief ends") {
                CHECK(!table.is_cut_off(app, time.now()));
            }
        }
    }

    GIVEN("targets that are lost while connections to others open") {
        for (int i = 0; i < 3; ++i) {
            lose(i);
            time.advance(10ms);
            table.record_open(target(4), 5ms, time.now());
        }
        THEN("the instance is not cut off") {
            CHECK(!table.is_cut_off(app, time.now()));
            CHECK(table.is_lost(target(0), time.now()));
        }
    }

    GIVEN("a target that is silent on an open connection") {
        table.record_lost(target(0), path_evidence::silent, time.now());
        CHECK(table.is_silent(target(0), time.now()));
        WHEN("bytes arrive from it") {
            table.record_reached(target(0), time.now());
            THEN("it is silent no more") {
                CHECK(!table.is_lost(target(0), time.now()));
            }
        }
    }

    GIVEN("a backend with one target") {
        const backend_name lone("lone");
        table.update_target(target_id("l"), lone, false);
        table.record_lost(target_id("l"), path_evidence::refused, time.now() + 1ms);
        THEN("its loss cuts the instance off") {
            CHECK(table.is_cut_off(lone, time.now() + 2ms));
        }
    }
}

SCENARIO("the paths of a backend that an instance is cut off from are probed") {
    manual_clock time;
    time.advance(1h);
    const backend_name app("app");
    path_table table({}, 1);
    for (const char* name : {"a", "b", "c"}) {
        table.update_target(target_id(name), app, false);
        table.record_lost(target_id(name), path_evidence::refused, time.now());
    }

    GIVEN("no request that needs the backend") {
        THEN("nothing is probed") {
            CHECK(!table.next_probe(time.now()));
        }
    }

    GIVEN("a request that needs it") {
        table.record_needed(app, time.now());
        int probes = 0;
        std::vector<target_id> probed;
        const time_point begin = time.now();
        while (time.now() - begin < 9s) {
            for (const target_id& target : table.take_due_probes(time.now())) {
                ++probes;
                probed.push_back(target);
                table.record_lost(target, path_evidence::open_timed_out, time.now());
            }
            time.advance(10ms);
        }
        THEN("each target is probed in turn, at growing intervals") {
            CHECK(probes >= 12);
            CHECK(probes <= 30);
            for (const char* name : {"a", "b", "c"}) {
                CHECK(std::count(probed.begin(), probed.end(), target_id(name)) >= 3);
            }
        }
        AND_WHEN("the backend is needed no more") {
            time.advance(3s);
            THEN("the probes end") {
                CHECK(!table.next_probe(time.now()));
            }
        }
    }
}

SCENARIO("the time that a connection may take to open follows the measured one") {
    manual_clock time;
    time.advance(1h);
    const target_id near("near");
    path_table table({}, 1);
    table.update_target(near, backend_name("app"), false);
    CHECK(table.open_timeout(near) == path_limits().first_open_timeout);
    table.record_open(near, 1ms, time.now());
    CHECK(table.open_timeout(near) == path_limits().shortest_open_timeout);
    for (int i = 0; i < 10; ++i) {
        table.record_open(near, 60ms, time.now());
    }
    CHECK(table.open_timeout(near) == 260ms);
    WHEN("connections time out") {
        for (int i = 0; i < 5; ++i) {
            table.record_lost(near, path_evidence::open_timed_out, time.now());
        }
        THEN("it grows up to its bound") {
            CHECK(table.open_timeout(near) == path_limits().longest_open_timeout);
        }
    }
}
