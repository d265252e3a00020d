#include "gateway/internal/leading_store.h"

#include <doctest/doctest.h>

#include <optional>

using namespace kingcupcart;
using namespace kingcupcart::gateway;
using effect = leading_store::effect;
using quorum::term_number;

// Guards against calls about jobs that are refused for as long as a cut lasts: a store outside of
// the group reported an outdated leader last, and the current leader does not report itself again.
SCENARIO("a store that has lost the group does not replace the leader that a gateway knows") {
    const instance_id former("s1");
    const instance_id current("s2");
    const instance_id follower("s3");
    const instance_id cut_off("s4");
    const instance_id none;
    leading_store leader;
    GIVEN("a leader of term 5, reported by a follower") {
        CHECK(leader.update(follower, current, term_number(5)) == effect::changed);
        WHEN("a store that is cut off reports the leader of term 4") {
            CHECK(leader.update(cut_off, former, term_number(4)) == effect::outdated);
            THEN("the leader of term 5 remains") {
                CHECK(leader.id() == current);
            }
        }
        WHEN("the former leader reports itself") {
            CHECK(leader.update(former, former, term_number(4)) == effect::outdated);
            THEN("the leader of term 5 remains") {
                CHECK(leader.id() == current);
            }
        }
        WHEN("a store that knows no leader reports a later term") {
            CHECK(leader.update(cut_off, none, term_number(6)) == effect::none);
            THEN("the leader of term 5 remains") {
                CHECK(leader.id() == current);
            }
        }
        WHEN("it is elected again, in term 7, after another one led") {
            CHECK(leader.update(follower, current, term_number(7)) == effect::none);
            CHECK(leader.update(cut_off, former, term_number(6)) == effect::outdated);
            THEN("it remains the leader") {
                CHECK(leader.id() == current);
            }
        }
        WHEN("a store reports the leader of term 6") {
            CHECK(leader.update(follower, former, term_number(6)) == effect::changed);
            THEN("that one leads") {
                CHECK(leader.id() == former);
            }
        }
        WHEN("it reports that it does not lead any more") {
            CHECK(leader.update(current, none, term_number(5)) == effect::changed);
            THEN("no leader is known until one is reported, even an earlier one") {
                CHECK_FALSE(leader.is_known());
                CHECK(leader.update(cut_off, former, term_number(4)) == effect::changed);
                CHECK(leader.update(follower, current, term_number(7)) == effect::changed);
                CHECK(leader.id() == current);
            }
        }
        WHEN("the link to it is lost") {
            CHECK_FALSE(leader.lose(follower));
            CHECK(leader.lose(current));
            THEN("no leader is known until it is reported again") {
                CHECK_FALSE(leader.is_known());
                CHECK(leader.update(current, current, term_number(5)) == effect::changed);
            }
        }
        WHEN("a store of an earlier version reports another leader, without a term") {
            CHECK(leader.update(follower, former, std::nullopt) == effect::changed);
            THEN("any report replaces that one") {
                CHECK(leader.update(follower, current, term_number(4)) == effect::changed);
            }
        }
    }
}
