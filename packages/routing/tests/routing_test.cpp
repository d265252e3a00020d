#include "routing/prefix_index.h"
#include "routing/router.h"
#include "routing/short_reserve.h"

#include <doctest/doctest.h>

#include <map>

using namespace kingcupcart;
using namespace kingcupcart::routing;
using namespace std::chrono_literals;

namespace {

const backend_name model("stylist-lm");
const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const location same_region_location{failure_domain_id("got-a2"), region_id("got-a")};
const location other_region_location{failure_domain_id("nor-a1"), region_id("nor-a")};

target_profile target(const std::string& id, const location& place = local_location,
                      int slots = 16) {
    return {target_id(id), model, place, slots, false};
}

route_query query(urgency kind = urgency::short_work) {
    route_query created;
    created.backend = model;
    created.kind = kind;
    return created;
}

/// Records a request that produces its first output after `wait` and finishes at the same time.
void serve(router& subject, const target_id& id, time_point sent, duration wait) {
    subject.record_sent(id, urgency::short_work, sent);
    subject.record_first_output(id, urgency::short_work, sent, sent + wait);
    subject.record_finished(id, urgency::short_work, sent, true, sent + wait);
}

} // namespace

SCENARIO("the router considers no others if a query names its targets") {
    router subject(local_location, {}, 1);
    for (int i = 0; i < 100; ++i) {
        subject.update_target(target("t" + std::to_string(i), local_location, 1));
    }
    route_query named = query();
    named.only = {target_id("t70"), target_id("t71")};
    subject.record_sent(target_id("t70"), urgency::short_work, {});
    THEN("it finds the one that has room in a large pool") {
        CHECK(subject.choose(named, {}).target == target_id("t71"));
    }
    THEN("there is no room if they are full") {
        subject.record_sent(target_id("t71"), urgency::short_work, {});
        CHECK(subject.choose(named, {}).reason == route_reason::no_room);
    }
    THEN("an excluded one is not chosen") {
        named.excluded = {target_id("t71")};
        CHECK(subject.choose(named, {}).reason == route_reason::no_room);
    }
    THEN("one that was ejected is used") {
        subject.record_failed(target_id("t71"), {});
        named.only = {target_id("t71")};
        CHECK(subject.choose(named, {}).target == target_id("t71"));
    }
}

SCENARIO("the router prefers near targets with free slots") {
    router subject(local_location, {}, 1);
    GIVEN("no target") {
        CHECK(subject.choose(query(), {}).reason == route_reason::no_target);
    }
    GIVEN("a target at each distance") {
        subject.update_target(target("near", local_location, 2));
        subject.update_target(target("next", same_region_location, 2));
        subject.update_target(target("far", other_region_location, 2));
        THEN("it chooses the target of its own domain") {
            CHECK(subject.choose(query(), {}).target == target_id("near"));
        }
        WHEN("the target of its own domain is full") {
            subject.record_sent(target_id("near"), urgency::short_work, {});
            subject.record_sent(target_id("near"), urgency::short_work, {});
            THEN("it chooses a target of another domain in its region") {
                CHECK(subject.choose(query(), {}).target == target_id("next"));
            }
            AND_WHEN("all targets are full") {
                for (const char* id : {"next", "next", "far", "far"}) {
                    subject.record_sent(target_id(id), urgency::short_work, {});
                }
                THEN("the reason is no room, as distinct from no target") {
                    CHECK(subject.choose(query(), {}).reason == route_reason::no_room);
                }
            }
        }
        WHEN("the nearest target is leaving") {
            auto leaving = target("near", local_location, 2);
            leaving.leaving = true;
            subject.update_target(leaving);
            THEN("it receives no new request") {
                CHECK(subject.choose(query(), {}).target == target_id("next"));
            }
        }
        WHEN("the query excludes the nearest target") {
            auto excluding_query = query();
            excluding_query.excluded = {target_id("near")};
            THEN("the router chooses another target") {
                CHECK(subject.choose(excluding_query, {}).target == target_id("next"));
            }
        }
    }
    GIVEN("a load report that shows the work of other instances") {
        subject.update_target(target("a"));
        subject.update_target(target("b"));
        subject.record_load_report(target_id("a"), {10, 0});
        THEN("the router chooses the less loaded target") {
            CHECK(subject.choose(query(), {}).target == target_id("b"));
        }
    }
}

SCENARIO("slow targets are ejected and probed") {
    router subject(local_location, {}, 1);
    for (const char* id : {"a", "b", "c", "d"}) {
        subject.update_target(target(id));
    }
    GIVEN("a target that is ten times slower than the others") {
        for (int i = 0; i < 30; ++i) {
            for (const char* id : {"a", "b", "c"}) {
                serve(subject, target_id(id), time_point(i * 10ms), 50ms);
            }
            if (i > 20) {
                serve(subject, target_id("d"), time_point(i * 600ms), 500ms);
            }
        }
        const time_point now(18s);
        THEN("it receives no work while others have room") {
            for (int i = 0; i < 100; ++i) {
                const auto choice = subject.choose(query(), now);
                REQUIRE(choice.target);
                CHECK(*choice.target != target_id("d"));
                subject.record_sent(*choice.target, urgency::short_work, now);
                subject.record_finished(*choice.target, urgency::short_work, now, false, now);
            }
        }
        WHEN("its ejection time is over") {
            auto repeatable_query = query();
            repeatable_query.allows_probe = true;
            const time_point later(60s);
            const auto probe = subject.choose(repeatable_query, later);
            THEN("one repeatable request probes it, and no second one at the same time") {
                CHECK(probe.target == target_id("d"));
                CHECK(probe.reason == route_reason::probation_trial);
                CHECK(subject.choose(repeatable_query, later).target != target_id("d"));
            }
            AND_WHEN("the probe is fast") {
                serve(subject, target_id("d"), later, 50ms);
                THEN("the target is in use again") {
                    std::map<target_id, int> chosen;
                    for (int i = 0; i < 40; ++i) {
                        const auto choice = subject.choose(query(), later + 1s);
                        ++chosen[*choice.target];
                        subject.record_sent(*choice.target, urgency::short_work, later + 1s);
                    }
                    CHECK(chosen[target_id("d")] == 10);
                }
            }
        }
    }
    GIVEN("a target whose first output is overdue") {
        for (int i = 0; i < 20; ++i) {
            serve(subject, target_id("a"), time_point(i * 10ms), 50ms);
        }
        subject.record_sent(target_id("b"), urgency::short_work, time_point(1s));
        THEN("it counts as slow before its first output") {
            for (int i = 0; i < 3; ++i) {
                const auto choice = subject.choose(query(), time_point(3s));
                CHECK(choice.target != target_id("b"));
                subject.record_sent(*choice.target, urgency::short_work, time_point(3s));
            }
        }
    }
    GIVEN("a pool in which all targets are ejected") {
        for (const char* id : {"a", "b", "c", "d"}) {
            subject.record_failed(target_id(id), {});
        }
        THEN("the router still chooses one of them") {
            const auto choice = subject.choose(query(), {});
            CHECK(choice.target);
            CHECK(choice.reason == route_reason::only_suspects_left);
        }
    }
}

SCENARIO("targets are reserved for short work") {
    GIVEN("the size of the reserve") {
        CHECK(short_reserve(0, 12, 0.02, 0.06) == 0);
        CHECK(short_reserve(4, 12, 0.0, 0.06) == 1);
        CHECK(short_reserve(4, 12, 0.02, 0.06) == 2);
        CHECK(short_reserve(1000, 12, 0.2, 0.06) >= 11);
        CHECK(short_reserve(5, 1, 0.2, 0.06) == 1);
    }
    GIVEN("short work running in a pool of six targets") {
        router subject(local_location, {}, 1);
        for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
            subject.update_target(target(id));
        }
        const auto short_target = *subject.choose(query(), time_point(1s)).target;
        subject.record_sent(short_target, urgency::short_work, time_point(1s));
        const time_point now(30s);
        WHEN("more drafts arrive than the other targets can run") {
            int sent = 0;
            while (true) {
                const auto choice = subject.choose(query(urgency::long_work), now);
                if (!choice.target) {
                    break;
                }
                subject.record_sent(*choice.target, urgency::long_work, now);
                ++sent;
            }
            THEN("the reserved target runs no draft, and the others leave slots free for short "
                 "work") {
                CHECK(sent == 5 * 12);
            }
            THEN("the router still chooses the reserved target for short work") {
                CHECK(subject.choose(query(), now).target == short_target);
            }
        }
    }
}

SCENARIO("the router prefers the target that caches the prompt's prefix") {
    router subject(local_location, {}, 1);
    subject.update_target(target("a"));
    subject.update_target(target("b"));
    auto prompt_query = query();
    prompt_query.prefix = {prefix_hash(1), prefix_hash(2), prefix_hash(3)};
    subject.record_cached(target_id("b"), {prefix_hash(1), prefix_hash(2)}, time_point(0s));
    GIVEN("the targets are equally loaded") {
        const auto choice = subject.choose(prompt_query, time_point(1s));
        CHECK(choice.target == target_id("b"));
        CHECK(choice.reason == route_reason::prefix_cached);
    }
    GIVEN("the caching target is much busier") {
        for (int i = 0; i < 12; ++i) {
            subject.record_sent(target_id("b"), urgency::short_work, time_point(1s));
        }
        CHECK(subject.choose(prompt_query, time_point(1s)).target == target_id("a"));
    }
    GIVEN("the cache entry has expired") {
        CHECK(subject.choose(prompt_query, time_point(1h)).reason == route_reason::least_loaded);
    }
    GIVEN("an index of two entries at most") {
        prefix_index index(2, 1h);
        index.add({prefix_hash(1), prefix_hash(2), prefix_hash(3)}, target_id("a"), {});
        CHECK(index.size() == 2);
        CHECK_FALSE(index.find({prefix_hash(1)}, {}));
    }
}
