#include "base/manual_clock.h"
#include "fleet/target_limits.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace std::chrono_literals;

namespace {

const target_id target("t");

/// An instance's limits under a manual clock, with what it reports to the keepers.
struct limits_fixture {
    manual_clock time;
    std::vector<wire::limit_report> reports;
    int changes = 0;
    fleet::target_limits subject{this->time,
                                 1,
                                 {[this](const wire::message& message) {
                                      if (const auto* report =
                                              std::get_if<wire::limit_report>(&message)) {
                                          this->reports.push_back(*report);
                                      }
                                  },
                                  [this](const target_id&) { ++this->changes; }}};

    void respond(std::optional<double> rate) {
        permits::limit_statement statement{permits::limit_statement::kind::unlimited, {}};
        if (rate) {
            statement = {permits::limit_statement::kind::limited, requests_per_second(*rate)};
        }
        this->subject.record(target, incarnation_id(1), statement, this->time.now());
    }
};

} // namespace

SCENARIO("the keepers are told of the limits in responses") {
    limits_fixture fixture;
    fixture.time.advance(10s);

    GIVEN("a response of a target without a limit") {
        fixture.respond(std::nullopt);
        THEN("nothing is kept or reported") {
            CHECK(fixture.reports.empty());
            CHECK(fixture.subject.table().empty());
        }
    }
    GIVEN("a response that names two requests a second") {
        fixture.respond(2);
        REQUIRE(fixture.reports.size() == 1);
        CHECK(fixture.reports[0].millionths_per_second == 2000000);
        CHECK(fixture.changes == 1);
        WHEN("the next ones name the same") {
            fixture.time.advance(1s);
            fixture.respond(2);
            THEN("nothing is reported again") {
                CHECK(fixture.reports.size() == 1);
            }
        }
        WHEN("the number changes with each response") {
            for (int i = 1; i <= 20; ++i) {
                fixture.time.advance(10ms);
                fixture.respond(2 + i);
            }
            THEN("it is reported now and then only, and the last one in the end") {
                CHECK(fixture.reports.size() == 1);
                fixture.time.advance(300ms);
                fixture.respond(22);
                REQUIRE(fixture.reports.size() == 2);
                CHECK(fixture.reports[1].millionths_per_second == 22000000);
            }
        }
        WHEN("a response names none") {
            fixture.time.advance(10ms);
            fixture.respond(std::nullopt);
            THEN("the end is reported at once") {
                REQUIRE(fixture.reports.size() == 2);
                CHECK(fixture.reports[1].millionths_per_second == 0);
                CHECK(fixture.changes == 2);
            }
        }
        WHEN("the limit can't be read") {
            fixture.time.advance(10ms);
            fixture.subject.record(target, incarnation_id(1),
                                   {permits::limit_statement::kind::malformed, {}},
                                   fixture.time.now());
            THEN("the limit before stays") {
                CHECK(fixture.subject.table().find(target)->rate->count() == doctest::Approx(2));
                CHECK(fixture.reports.size() == 1);
            }
        }
    }
    GIVEN("a limit that a keeper reports") {
        fixture.subject.handle({target, incarnation_id(1), 3000000, 100ms}, instance_id("keeper"));
        THEN("it is taken over, and not reported back") {
            CHECK(fixture.subject.table().find(target)->rate->count() == doctest::Approx(3));
            fixture.respond(3);
            CHECK(fixture.reports.empty());
        }
        AND_WHEN("a keeper connects") {
            fixture.subject.keeper_connected();
            THEN("it is told, since it may have restarted") {
                CHECK(fixture.reports.size() == 1);
            }
        }
    }
}
