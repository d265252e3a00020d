#include "membership/directory.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::membership;
using namespace std::chrono_literals;

namespace {

const location home{failure_domain_id("got-a1"), region_id("got-a")};
const location elsewhere{failure_domain_id("nor-a1"), region_id("nor-a")};

target_record engine(const char* id, std::uint64_t sequence, const location& place = home) {
    target_record record;
    record.id = target_id(id);
    record.place = place;
    record.incarnation = incarnation_id(1);
    record.sequence = sequence;
    return record;
}

} // namespace

SCENARIO("a target lives as long as it is heard of") {
    directory known(home);
    GIVEN("a target that announced itself here") {
        CHECK(known.announce(engine("e", 1), 5s, time_point(0s)).event == directory_event::added);
        THEN("the same announcement again is a renewal and no news") {
            const auto again = known.announce(engine("e", 1), 5s, time_point(4s));
            CHECK(again.event == directory_event::renewed);
            CHECK_FALSE(again.is_news());
            CHECK(known.expire(time_point(8s)).empty());
        }
        WHEN("it is silent past its lease") {
            const auto gone = known.expire(time_point(5s));
            REQUIRE(gone.size() == 1);
            CHECK(gone[0].event == directory_event::removed);
            CHECK(known.find(target_id("e")) == nullptr);
            THEN("an old record that travelled slowly does not bring it back") {
                CHECK(known.learn(engine("e", 1), 5s, time_point(6s)).event ==
                      directory_event::stale);
                CHECK(known.size() == 0);
            }
            THEN("its own word does, with a younger record for the others") {
                const auto back = known.announce(engine("e", 1), 5s, time_point(6s));
                CHECK(back.event == directory_event::added);
                CHECK(back.record.is_newer_than(gone[0].record));
                CHECK(known.size() == 1);
                auto leaving = engine("e", 2);
                leaving.leaving = true;
                CHECK(known.announce(leaving, 5s, time_point(7s)).event ==
                      directory_event::changed);
                CHECK(known.find(target_id("e"))->leaving);
            }
        }
        WHEN("it announces that it leaves") {
            auto leaving = engine("e", 2);
            leaving.leaving = true;
            CHECK(known.announce(leaving, 5s, time_point(1s)).event == directory_event::changed);
            THEN("an earlier record cannot take that back") {
                CHECK(known.learn(engine("e", 1), 5s, time_point(2s)).event ==
                      directory_event::stale);
                CHECK(known.find(target_id("e"))->leaving);
            }
        }
        WHEN("it comes back as a new incarnation") {
            auto restarted = engine("e", 0);
            restarted.incarnation = incarnation_id(2);
            THEN("that is told apart from a change") {
                CHECK(known.announce(restarted, 5s, time_point(1s)).event ==
                      directory_event::restarted);
            }
        }
    }
    GIVEN("a target of this domain that another instance vouches for") {
        known.learn(engine("e", 1), 5s, time_point(0s));
        CHECK(known.locally_announced().empty());
        THEN("it needs renewing") {
            known.renew(target_id("e"), 5s, time_point(4s));
            CHECK(known.expire(time_point(8s)).empty());
            CHECK(known.expire(time_point(9s)).size() == 1);
        }
    }
    GIVEN("a target of another domain") {
        known.learn(engine("far", 1, elsewhere), 5s, time_point(0s));
        THEN("it stays until it is said to be gone, so that nothing periodic crosses domains") {
            CHECK(known.expire(time_point(24h)).empty());
            auto gone = engine("far", 1, elsewhere);
            gone.revision = 1;
            gone.gone = true;
            CHECK(known.learn(gone, 5s, time_point(24h)).event == directory_event::removed);
        }
    }
}
