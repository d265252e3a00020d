#include "permits/permit_account.h"
#include "routing/router.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::routing;
using namespace std::chrono_literals;

namespace {

const backend_name model("stylist-lm");
const location local_location{failure_domain_id("got-a1"), region_id("got-a")};
const location other_region_location{failure_domain_id("nor-a1"), region_id("nor-a")};
const software_version v1("v1");
const software_version v2("v2");

target_profile target(const std::string& id, const software_version& software,
                      const location& place = local_location, int slots = 16) {
    return {target_id(id), model, place, slots, false, software};
}

route_query query(const std::optional<software_version>& software,
                  urgency kind = urgency::short_work) {
    route_query created;
    created.backend = model;
    created.kind = kind;
    created.software = software;
    return created;
}

} // namespace

// Streams went on at targets of another software version.
SCENARIO("the router considers only targets of the version that a request needs") {
    router subject(local_location, {}, 1);
    GIVEN("a near target of one version, and a far one of another") {
        subject.update_target(target("near", v1));
        subject.update_target(target("far", v2, other_region_location, 1));
        THEN("a request of any version goes to the near one, others to that of their version") {
            CHECK(subject.choose(query(std::nullopt), {}).target == target_id("near"));
            CHECK(subject.choose(query(v1), {}).target == target_id("near"));
            CHECK(subject.choose(query(v2), {}).target == target_id("far"));
            CHECK(subject.has_target(query(v2)));
        }
        THEN("there is no target of a third version, nor of none") {
            for (const software_version& other : {software_version("v3"), software_version()}) {
                const auto choice = subject.choose(query(other), {});
                CHECK_FALSE(choice.target);
                CHECK(choice.reason == route_reason::no_target);
                CHECK_FALSE(subject.has_target(query(other)));
            }
        }
        WHEN("the far one is full") {
            subject.record_sent(target_id("far"), urgency::short_work, {});
            THEN("its version has no room, as distinct from no target") {
                CHECK(subject.choose(query(v2), {}).reason == route_reason::no_room);
                CHECK(subject.has_target(query(v2)));
            }
        }
        WHEN("the far one was tried before") {
            auto tried = query(v2);
            tried.excluded = {target_id("far")};
            THEN("its version has no other target") {
                CHECK(subject.choose(tried, {}).reason == route_reason::no_target);
                CHECK_FALSE(subject.has_target(tried));
            }
        }
        WHEN("the far one has failed") {
            subject.record_failed(target_id("far"), {});
            THEN("its version still has it as the last resort, and its probe") {
                CHECK(subject.choose(query(v2), {}).reason == route_reason::only_suspects_left);
                auto repeatable = query(v2);
                repeatable.allows_probe = true;
                CHECK(subject.choose(repeatable, time_point(1h)).reason ==
                      route_reason::probation_trial);
            }
        }
        WHEN("the far one is leaving, is removed or starts again as the other version") {
            for (const char* change : {"leaving", "removed", "restarted"}) {
                SUBCASE(change) {
                    auto changed = target("far", v2, other_region_location, 1);
                    if (std::string(change) == "removed") {
                        subject.remove_target(target_id("far"));
                    } else {
                        changed.leaving = std::string(change) == "leaving";
                        changed.software = changed.leaving ? v2 : v1;
                        subject.update_target(changed);
                    }
                    CHECK(subject.choose(query(v2), {}).reason == route_reason::no_target);
                    CHECK_FALSE(subject.has_target(query(v2)));
                }
            }
        }
    }
    GIVEN("a version that 2 of 600 targets have") {
        for (int i = 0; i < 600; ++i) {
            subject.update_target(target("t" + std::to_string(i), i % 300 == 7 ? v2 : v1));
        }
        THEN("its targets are found for short and for long work") {
            for (int i = 0; i < 100; ++i) {
                for (const urgency kind : {urgency::short_work, urgency::long_work}) {
                    const auto choice = subject.choose(query(v2, kind), {});
                    REQUIRE(choice.target);
                    CHECK((choice.target == target_id("t7") || choice.target == target_id("t307")));
                }
            }
        }
        THEN("a cached prefix does not draw a request to another version") {
            auto prompt = query(v2);
            prompt.prefix = {prefix_hash(1)};
            subject.record_cached(target_id("t8"), prompt.prefix, {});
            CHECK(subject.choose(prompt, {}).target != target_id("t8"));
        }
    }
    GIVEN("short work that has a target reserved, and versions with and without another target") {
        for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
            subject.update_target(target(id, v1));
        }
        const target_id reserved = *subject.choose(query(std::nullopt), time_point(1s)).target;
        subject.record_sent(reserved, urgency::short_work, time_point(1s));
        const time_point now(30s);
        WHEN("the reserved target is one of several of its version") {
            const auto choice = subject.choose(query(v1, urgency::long_work), now);
            THEN("long work of that version leaves it to short work, and can leave it") {
                REQUIRE(choice.target);
                CHECK(choice.target != reserved);
                CHECK(subject.can_leave_reserve(reserved, query(v1, urgency::long_work), now));
            }
        }
        WHEN("the others of its version are full") {
            for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
                for (int i = 0; i < 16 && target_id(id) != reserved; ++i) {
                    subject.record_sent(target_id(id), urgency::long_work, now);
                }
            }
            THEN("long work can leave it, and waits for them") {
                CHECK(subject.choose(query(v1, urgency::long_work), now).reason ==
                      route_reason::no_room);
                CHECK(subject.can_leave_reserve(reserved, query(v1, urgency::long_work), now));
            }
        }
        WHEN("so much short work runs that all targets are reserved") {
            for (int i = 0; i < 1000; ++i) {
                subject.record_sent(reserved, urgency::short_work, time_point(1s));
            }
            THEN("long work can leave one for another of its version, but not for other versions") {
                CHECK(subject.can_leave_reserve(reserved, query(v1, urgency::long_work), now));
                subject.update_target(target(reserved.value(), v2));
                CHECK_FALSE(
                    subject.can_leave_reserve(reserved, query(v2, urgency::long_work), now));
            }
        }
        WHEN("it is the only one of its version") {
            subject.update_target(target(reserved.value(), v2));
            THEN("long work of that version runs there, and can't leave it") {
                CHECK(subject.choose(query(v2, urgency::long_work), now).target == reserved);
                CHECK_FALSE(
                    subject.can_leave_reserve(reserved, query(v2, urgency::long_work), now));
            }
        }
    }
}

// A request waited for the permit of a target that it may not be sent to.
SCENARIO("only the limited targets of a request's version count") {
    permits::permit_account permits({}, 1);
    router subject(local_location, {}, 1);
    subject.set_permits(&permits);
    subject.update_target(target("limited", v1));
    subject.update_target(target("free", v2));
    permits::target_limit limit{target_id("limited"), incarnation_id(), {}, time_point(1s)};
    limit.rate = requests_per_second(1.0);
    permits.apply(limit);
    THEN("a request of their version needs a permit, and others need none") {
        CHECK(subject.find_only_limited(query(v1)) == std::vector<target_id>{target_id("limited")});
        CHECK(subject.find_only_limited(query(v2)).empty());
        CHECK(subject.find_only_limited(query(std::nullopt)).empty());
        CHECK(subject.choose(query(v1), time_point(1s)).reason == route_reason::no_permit);
    }
}
