#include "membership/directory.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::membership;
using namespace std::chrono_literals;

namespace {

const location local_domain{failure_domain_id("got-a1"), region_id("got-a")};
const location other_domain{failure_domain_id("nor-a1"), region_id("nor-a")};

target_record engine(const char* id, std::uint64_t sequence, const location& place = local_domain) {
    target_record record;
    record.id = target_id(id);
    record.place = place;
    record.incarnation = incarnation_id(1);
    record.sequence = sequence;
    return record;
}

} // namespace

SCENARIO("a target is known until its lease expires or it is marked as gone") {
    directory targets(local_domain);
    GIVEN("a target that announced itself here") {
        CHECK(targets.announce(engine("e", 1), 5s, time_point(0s)).event == directory_event::added);
        THEN("a repeated announcement renews the lease and is no change") {
            const auto again = targets.announce(engine("e", 1), 5s, time_point(4s));
            CHECK(again.event == directory_event::renewed);
            CHECK_FALSE(again.is_record_change());
            CHECK(targets.expire(time_point(8s)).empty());
        }
        WHEN("it sends no heartbeat within its lease") {
            const auto gone = targets.expire(time_point(5s));
            REQUIRE(gone.size() == 1);
            CHECK(gone[0].event == directory_event::removed);
            CHECK(targets.find(target_id("e")) == nullptr);
            THEN("a delayed older record does not restore it") {
                CHECK(targets.apply_update(engine("e", 1), 5s, time_point(6s)).event ==
                      directory_event::stale);
                CHECK(targets.size() == 0);
            }
            THEN("its own announcement restores it, with a newer record for other instances") {
                const auto back = targets.announce(engine("e", 1), 5s, time_point(6s));
                CHECK(back.event == directory_event::added);
                CHECK(back.record.is_newer_than(gone[0].record));
                CHECK(targets.size() == 1);
                auto leaving = engine("e", 2);
                leaving.leaving = true;
                CHECK(targets.announce(leaving, 5s, time_point(7s)).event ==
                      directory_event::changed);
                CHECK(targets.find(target_id("e"))->leaving);
            }
        }
        WHEN("it announces that it is leaving") {
            auto leaving = engine("e", 2);
            leaving.leaving = true;
            CHECK(targets.announce(leaving, 5s, time_point(1s)).event == directory_event::changed);
            THEN("an earlier record cannot revert that") {
                CHECK(targets.apply_update(engine("e", 1), 5s, time_point(2s)).event ==
                      directory_event::stale);
                CHECK(targets.find(target_id("e"))->leaving);
            }
        }
        WHEN("it returns as a new incarnation") {
            auto restarted = engine("e", 0);
            restarted.incarnation = incarnation_id(2);
            THEN("that is reported as a restart and not as a change") {
                CHECK(targets.announce(restarted, 5s, time_point(1s)).event ==
                      directory_event::restarted);
            }
        }
    }
    GIVEN("a target of this domain whose heartbeats another instance relays") {
        targets.apply_update(engine("e", 1), 5s, time_point(0s));
        CHECK(targets.locally_announced().empty());
        THEN("it expires unless its lease is renewed") {
            targets.renew(target_id("e"), 5s, time_point(4s));
            CHECK(targets.expire(time_point(8s)).empty());
            CHECK(targets.expire(time_point(9s)).size() == 1);
        }
    }
    GIVEN("a target of another domain") {
        targets.apply_update(engine("far", 1, other_domain), 5s, time_point(0s));
        THEN("it stays until it is marked as gone, so that no periodic messages cross domains") {
            CHECK(targets.expire(time_point(24h)).empty());
            auto gone = engine("far", 1, other_domain);
            gone.revision = 1;
            gone.gone = true;
            CHECK(targets.apply_update(gone, 5s, time_point(24h)).event ==
                  directory_event::removed);
        }
    }
}

SCENARIO("a target that says in a response that it leaves is marked without an announcement") {
    directory targets(local_domain);
    targets.apply_update(engine("e", 1), 5s, time_point(0s));
    GIVEN("a mark") {
        const auto change = targets.mark_leaving(target_id("e"));
        CHECK(change.event == directory_event::changed);
        CHECK(targets.find(target_id("e"))->leaving);
        THEN("a second one changes nothing") {
            CHECK(targets.mark_leaving(target_id("e")).event == directory_event::stale);
        }
        THEN("a newer record of the target replaces it") {
            targets.apply_update(engine("e", 2), 5s, time_point(1s));
            CHECK_FALSE(targets.find(target_id("e"))->leaving);
        }
    }
    GIVEN("a target that is not known") {
        CHECK(targets.mark_leaving(target_id("other")).event == directory_event::stale);
    }
}
