#include "gateway/internal/send_history.h"

#include <doctest/doctest.h>

using namespace kingcupcart::gateway;

// Jobs ran whose submission had been refused as not run: the answer of a new leader cleared what
// was known of the one before.
SCENARIO("a submission that reached a store and has no outcome is not said not to have run") {
    send_history history;
    CHECK_FALSE(history.may_have_run());
    GIVEN("a submission that was sent to a leader") {
        history.sent();
        CHECK(history.may_have_run());
        WHEN("that store does not lead any more") {
            history.declined();
            THEN("it has not run") {
                CHECK_FALSE(history.may_have_run());
            }
        }
        WHEN("the leader is lost, and the next one does not lead yet") {
            history.sent();
            history.declined();
            THEN("it may have run at the first one") {
                CHECK(history.may_have_run());
            }
            AND_WHEN("further stores decline it too") {
                history.sent();
                history.declined();
                THEN("it still may have run") {
                    CHECK(history.may_have_run());
                }
            }
        }
    }
}
