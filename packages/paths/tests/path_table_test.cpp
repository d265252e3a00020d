#include "base/manual_clock.h"
#include "paths/path_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::paths;
using namespace std::chrono_literals;

namespace {

const backend_name app("app");

target_id numbered(int number) {
    return target_id("t" + std::to_string(number));
}

/// A table of one backend whose targets have each been reached.
struct path_fixture {
    manual_clock time;
    path_table table{{}, 1};

    explicit path_fixture(int targets, duration begin = 1h) {
        this->time.advance(begin);
        for (int i = 0; i < targets; ++i) {
            this->table.update_target(numbered(i), app, false, this->time.now());
            this->open(i);
        }
    }
    std::vector<target_id> open(int number) {
        return this->table.record_open(numbered(number), 5ms, this->time.now());
    }
    void lose(int number, path_evidence evidence = path_evidence::open_timed_out) {
        this->table.record_lost(numbered(number), evidence, this->time.now());
    }
    bool is_lost(int number) const {
        return this->table.is_lost(numbered(number), this->time.now());
    }
    bool is_cut_off() const { return this->table.is_cut_off(app, this->time.now()); }

    /// Answers the probes until the time is over. Returns those that were made.
    template <typename Opens>
    std::vector<target_id> probe_for(duration how_long, Opens opens) {
        std::vector<target_id> probed;
        const time_point end = this->time.now() + how_long;
        while (this->time.now() < end) {
            for (const target_id& target : this->table.take_due_probes(this->time.now())) {
                probed.push_back(target);
                if (opens(target)) {
                    this->table.record_open(target, 1ms, this->time.now());
                } else {
                    this->table.record_lost(target, path_evidence::refused, this->time.now());
                }
            }
            this->time.advance(10ms);
        }
        return probed;
    }
};

bool opens_none(const target_id& /*target*/) {
    return false;
}

} // namespace

// A connection that hung while it was opened left no trace, so an instance that had lost all its
// targets sent each call to the same ones until its deadline.
SCENARIO("an instance notices that it is cut off from a backend") {
    path_fixture fixture(5);
    const auto lose = [&](int number) {
        fixture.time.advance(100ms);
        fixture.lose(number);
    };

    GIVEN("two targets whose connections don't open, one after the other") {
        lose(0);
        CHECK(!fixture.is_cut_off());
        lose(1);
        THEN("the instance is cut off from all of them") {
            CHECK(fixture.is_cut_off());
            CHECK(fixture.table.cut_off_backends(fixture.time.now()) == std::vector{app});
        }
        AND_WHEN("a connection to one of them opens") {
            fixture.time.advance(1s);
            const auto regained = fixture.open(1);
            THEN("both count as unknown again") {
                CHECK(regained == std::vector{numbered(0), numbered(1)});
                CHECK(!fixture.is_cut_off());
                CHECK(!fixture.is_lost(0));
                CHECK(!fixture.is_lost(1));
            }
        }
        AND_WHEN("a connection to a third one opens") {
            fixture.time.advance(1s);
            const auto regained = fixture.open(2);
            THEN("the instance is not cut off, and the two stay lost until they are heard of") {
                CHECK(regained.empty());
                CHECK(!fixture.is_cut_off());
                CHECK(fixture.is_lost(0));
                CHECK(fixture.is_lost(1));
                fixture.open(0);
                CHECK(!fixture.is_lost(0));
            }
        }
        AND_WHEN("bytes arrive on a connection that was kept") {
            fixture.table.record_reached(numbered(0), fixture.time.now());
            fixture.table.record_reached(numbered(2), fixture.time.now());
            THEN("the instance is still cut off, since no new connection opens") {
                CHECK(fixture.is_cut_off());
                CHECK(fixture.is_lost(0));
            }
        }
        AND_WHEN("nothing more is heard for the age of evidence") {
            fixture.time.advance(11s);
            THEN("the belief ends") {
                CHECK(!fixture.is_cut_off());
                CHECK(!fixture.is_lost(0));
            }
        }
        AND_WHEN("a target starts again") {
            fixture.table.reset_target(numbered(1), fixture.time.now());
            THEN("its loss counts no more") {
                CHECK(!fixture.is_cut_off());
                CHECK(fixture.is_lost(0));
            }
        }
        AND_WHEN("one of them leaves or is removed") {
            fixture.table.update_target(numbered(0), app, true, fixture.time.now());
            CHECK(!fixture.is_cut_off());
            fixture.table.remove_target(numbered(1));
            CHECK(!fixture.table.next_expiry());
        }
    }

    GIVEN("one target whose connections fail again and again") {
        for (int i = 0; i < 10; ++i) {
            lose(0);
        }
        THEN("the instance is not cut off, since the target may have ended") {
            CHECK(!fixture.is_cut_off());
        }
    }

    GIVEN("targets that are lost while connections to others open") {
        for (int i = 0; i < 3; ++i) {
            lose(i);
            fixture.time.advance(10ms);
            fixture.open(4);
        }
        THEN("the instance is not cut off") {
            CHECK(!fixture.is_cut_off());
            CHECK(fixture.is_lost(0));
        }
        AND_WHEN("they are lost again, and no connection was opened meanwhile") {
            lose(0);
            lose(1);
            lose(2);
            THEN("this is no new cut") {
                CHECK(!fixture.is_cut_off());
            }
            AND_WHEN("the rest is lost too") {
                lose(3);
                CHECK(!fixture.is_cut_off());
                lose(4);
                THEN("the instance is cut off") {
                    CHECK(fixture.is_cut_off());
                }
            }
        }
    }

    GIVEN("a target that is silent on an open connection") {
        fixture.lose(0, path_evidence::silent);
        CHECK(fixture.table.is_silent(numbered(0), fixture.time.now()));
        WHEN("bytes arrive from it") {
            fixture.table.record_reached(numbered(0), fixture.time.now());
            THEN("it is silent no more") {
                CHECK(!fixture.is_lost(0));
            }
        }
        WHEN("another is silent, and nothing is heard") {
            fixture.lose(1, path_evidence::silent);
            CHECK(fixture.is_cut_off());
            THEN("bytes from a third one end the cut, and the two stay silent") {
                fixture.table.record_reached(numbered(2), fixture.time.now());
                CHECK(!fixture.is_cut_off());
                CHECK(fixture.table.is_silent(numbered(0), fixture.time.now()));
            }
        }
        WHEN("its connections don't open either") {
            fixture.lose(0);
            THEN("it is still one target") {
                CHECK(!fixture.is_cut_off());
                CHECK(fixture.table.is_silent(numbered(0), fixture.time.now()));
            }
        }
    }

    GIVEN("a backend with one target") {
        const backend_name lone("lone");
        fixture.table.update_target(target_id("l"), lone, false, fixture.time.now());
        fixture.table.record_lost(target_id("l"), path_evidence::refused, fixture.time.now());
        THEN("its loss cuts the instance off") {
            CHECK(fixture.table.is_cut_off(lone, fixture.time.now()));
        }
    }
}

SCENARIO("each lost and regained path is reported once") {
    path_fixture fixture(3);
    CHECK(fixture.table.take_changes().empty());
    fixture.lose(0, path_evidence::refused);
    fixture.lose(0, path_evidence::refused);
    auto changes = fixture.table.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].target == numbered(0));
    CHECK(changes[0].backend == app);
    CHECK(changes[0].is_lost);
    CHECK(changes[0].evidence == path_evidence::refused);
    WHEN("a connection opens") {
        fixture.time.advance(2s);
        fixture.open(0);
        THEN("the path is regained after this time") {
            changes = fixture.table.take_changes();
            REQUIRE(changes.size() == 1);
            CHECK(!changes[0].is_lost);
            CHECK(changes[0].age == 2s);
        }
    }
    WHEN("the evidence grows old") {
        REQUIRE(fixture.table.next_expiry() == fixture.time.now() + 10s);
        fixture.time.advance(10s);
        fixture.table.expire(fixture.time.now());
        THEN("the path is no longer lost") {
            changes = fixture.table.take_changes();
            REQUIRE(changes.size() == 1);
            CHECK(!changes[0].is_lost);
            CHECK(changes[0].age == 10s);
            CHECK(!fixture.table.next_expiry());
        }
    }
}

SCENARIO("the belief does not depend on the clock's origin") {
    for (const duration begin : {duration{}, duration{1}, duration{1h}}) {
        path_fixture fixture(3, begin);
        fixture.lose(0);
        fixture.lose(1);
        CHECK(fixture.is_cut_off());
        CHECK(!fixture.table.next_probe(fixture.time.now()));
        fixture.table.record_needed(app, fixture.time.now());
        CHECK(fixture.table.next_probe(fixture.time.now()) == fixture.time.now());
        CHECK(fixture.table.take_due_probes(fixture.time.now()).size() == 1);
    }
}

SCENARIO("the paths of a backend that an instance is cut off from are probed") {
    path_fixture fixture(3);
    for (int i = 0; i < 3; ++i) {
        fixture.lose(i, path_evidence::refused);
    }

    GIVEN("no request that needs the backend") {
        THEN("nothing is probed") {
            CHECK(!fixture.table.next_probe(fixture.time.now()));
        }
    }

    GIVEN("a request that needs it") {
        fixture.table.record_needed(app, fixture.time.now());
        WHEN("no connection opens") {
            const auto probed = fixture.probe_for(9s, opens_none);
            THEN("each target is probed in turn, at growing intervals") {
                CHECK(probed.size() >= 12);
                CHECK(probed.size() <= 30);
                for (int i = 0; i < 3; ++i) {
                    CHECK(std::count(probed.begin(), probed.end(), numbered(i)) >= 3);
                }
            }
            AND_WHEN("the cut ends") {
                const auto last = fixture.probe_for(1s, [](const target_id&) { return true; });
                THEN("it is noticed within a second") {
                    CHECK(last.size() == 1);
                    CHECK(!fixture.is_cut_off());
                    for (int i = 0; i < 3; ++i) {
                        CHECK(!fixture.is_lost(i));
                    }
                }
            }
            AND_WHEN("the backend is needed no more") {
                fixture.time.advance(3s);
                THEN("the probes end") {
                    CHECK(!fixture.table.next_probe(fixture.time.now()));
                }
            }
        }
        WHEN("a probe does not end") {
            CHECK(fixture.table.take_due_probes(fixture.time.now()).size() == 1);
            THEN("no other begins meanwhile") {
                fixture.time.advance(400ms);
                CHECK(fixture.table.take_due_probes(fixture.time.now()).empty());
                fixture.time.advance(100ms);
                CHECK(fixture.table.take_due_probes(fixture.time.now()).size() == 1);
            }
        }
    }
}

// Two targets that crash together look like the beginning of a cut.
SCENARIO("targets that end together do not cut off those that serve") {
    path_fixture fixture(12);
    const auto is_serving = [&](const target_id& target) {
        return target != numbered(0) && target != numbered(1);
    };
    fixture.lose(0, path_evidence::refused);
    fixture.lose(1, path_evidence::refused);
    CHECK(fixture.is_cut_off());
    fixture.table.record_needed(app, fixture.time.now());
    const auto probed = fixture.probe_for(10ms, is_serving);
    THEN("one probe ends the belief") {
        CHECK(probed.size() == 1);
        CHECK(!fixture.is_cut_off());
    }
    AND_WHEN("connections to the two fail again") {
        fixture.lose(0, path_evidence::refused);
        fixture.lose(1, path_evidence::refused);
        THEN("the belief does not return") {
            CHECK(!fixture.is_cut_off());
        }
    }
}

// Calls alternated between the relay and lost targets if a cut came and went, or took only some
// targets.
SCENARIO("the belief follows a cut that flaps, and none that takes some targets only") {
    GIVEN("a cut of all targets that comes and goes") {
        path_fixture fixture(5);
        for (int round = 0; round < 20; ++round) {
            int tried = 0;
            while (!fixture.is_cut_off()) {
                fixture.lose(tried % 5);
                ++tried;
            }
            CHECK(tried == 2);
            fixture.table.record_needed(app, fixture.time.now());
            fixture.probe_for(1500ms, opens_none);
            CHECK(fixture.is_cut_off());
            fixture.probe_for(1s, [](const target_id&) { return true; });
            CHECK(!fixture.is_cut_off());
        }
    }
    GIVEN("a cut that takes some of the targets, which are tried now and then") {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            CAPTURE(seed);
            std::mt19937_64 random(seed);
            path_fixture fixture(8);
            const int reachable = 1 + static_cast<int>(random() % 7);
            const auto opens = [&](const target_id& target) {
                for (int i = 0; i < reachable; ++i) {
                    if (target == numbered(i)) {
                        return true;
                    }
                }
                return false;
            };
            int beliefs = 0;
            duration believed{};
            bool was_cut_off = false;
            for (int step = 0; step < 3000; ++step) {
                const int tried = static_cast<int>(random() % 8);
                // Targets that are lost are passed over, but for a trial now and then.
                const bool is_trial = random() % 50 == 0;
                if (!fixture.is_cut_off() && (!fixture.is_lost(tried) || is_trial)) {
                    if (opens(numbered(tried))) {
                        fixture.open(tried);
                    } else {
                        fixture.lose(tried);
                    }
                }
                const bool is_cut_off = fixture.is_cut_off();
                beliefs += is_cut_off && !was_cut_off ? 1 : 0;
                was_cut_off = is_cut_off;
                if (is_cut_off) {
                    fixture.table.record_needed(app, fixture.time.now());
                    believed += 10ms;
                }
                fixture.probe_for(10ms, opens);
                fixture.table.expire(fixture.time.now());
            }
            // At most one for each two targets that turn out to be lost within the age of evidence.
            CHECK(beliefs <= 4 * 3);
            CHECK(believed <= 3s);
        }
    }
}

SCENARIO("the time that a connection may take to open follows the measured one") {
    manual_clock time;
    time.advance(1h);
    const target_id near("near");
    path_table table({}, 1);
    table.update_target(near, backend_name("app"), false, time.now());
    table.update_target(target_id("other"), backend_name("app"), false, time.now());
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
    WHEN("connections time out because the instance is cut off") {
        table.record_lost(target_id("other"), path_evidence::open_timed_out, time.now());
        for (int i = 0; i < 5; ++i) {
            table.record_lost(near, path_evidence::open_timed_out, time.now());
        }
        THEN("it does not grow") {
            CHECK(table.open_timeout(near) == 260ms);
        }
    }
}

SCENARIO("the beliefs about a backend of 600 targets cost no search") {
    path_fixture fixture(600);
    // A search through 600 targets takes tens of microseconds.
    constexpr int questions = 10000;
    constexpr double max_processor_seconds = 0.05;
    const auto ask = [&] {
        int cut_off = 0;
        const std::clock_t begin = std::clock();
        for (int i = 0; i < questions; ++i) {
            cut_off += fixture.is_cut_off() ? 1 : 0;
        }
        const auto spent = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        CHECK(spent < max_processor_seconds);
        return cut_off;
    };
    CHECK(ask() == 0);
    GIVEN("targets that are lost one by one while another opens") {
        for (int i = 0; i < 599; ++i) {
            fixture.lose(i);
            fixture.open(599);
        }
        CHECK(ask() == 0);
        fixture.lose(599);
        CHECK(ask() == questions);
    }
    GIVEN("targets that are lost together") {
        for (int i = 0; i < 600; ++i) {
            fixture.lose(i);
        }
        CHECK(ask() == questions);
    }
}
