#include "permits/limit_table.h"
#include "permits/permit_account.h"
#include "permits/permit_issuer.h"
#include "simulated_fleet.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <cstddef>

namespace kingcupcart::permits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point{} + std::chrono::hours(1);

/// What a target may get within 4 s: one and a half times what its limit allows, and five more.
std::size_t allowed(double rate) {
    return static_cast<std::size_t>(std::floor(1.5 * rate * 4 + 5));
}

/// Runs the check at low and high rates, with few and many senders.
template <typename Check>
void for_each_fleet(Check check) {
    for (const double rate : {1.0, 4.4, 50.0}) {
        for (const std::size_t senders : {std::size_t{3}, std::size_t{9}, std::size_t{249}}) {
            CAPTURE(rate);
            CAPTURE(senders);
            simulated_fleet fleet(senders, rate, 7);
            check(fleet, rate);
        }
    }
}

target_limit make_limit(double rate, time_point stated_at, std::uint64_t incarnation = 1) {
    return {target_id("t"), incarnation_id(incarnation), requests_per_second(rate), stated_at};
}

target_limit make_end(time_point stated_at) {
    return {target_id("t"), incarnation_id(1), {}, stated_at};
}

} // namespace

// Each instance sent as if it were alone, so a target got several times the rate that it had named.
SCENARIO("all senders together keep to the rate that a target names") {
    GIVEN("callers at all senders, three times as many as the target takes") {
        THEN("the target gets nine tenths of its rate or more, and never too much") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_total_load(3 * rate);
                fleet.run(seconds(5));
                const time_point begin = fleet.time();
                fleet.run(seconds(20));
                CHECK(fleet.most_in_window() <= allowed(rate));
                CHECK(static_cast<double>(fleet.arrivals_since(begin)) >= 0.9 * rate * 20);
            });
        }
    }
    GIVEN("one busy sender, and the others quiet") {
        THEN("the busy one gets what the others leave") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_load(0, 3 * rate);
                fleet.run(seconds(5));
                const time_point begin = fleet.time();
                fleet.run(seconds(20));
                CHECK(fleet.most_in_window() <= allowed(rate));
                CHECK(static_cast<double>(fleet.arrivals_since(begin)) >= 0.9 * rate * 20);
            });
        }
    }
    GIVEN("senders that come and go, and one that freezes with requests waiting") {
        THEN("the target never gets too much") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_total_load(3 * rate);
                fleet.run(seconds(5));
                fleet.add_sender(rate);
                fleet.run(seconds(5));
                fleet.lose_sender(0);
                fleet.run(seconds(5));
                fleet.freeze_sender(1, seconds(2));
                fleet.run(seconds(8));
                CHECK(fleet.most_in_window() <= allowed(rate));
            });
        }
    }
    GIVEN("an issuer that is gone for 10 s and comes back") {
        THEN("the sum never jumps, and the rate is used again") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_total_load(3 * rate);
                fleet.run(seconds(8));
                fleet.lose_issuer(seconds(10));
                fleet.run(seconds(12));
                const time_point begin = fleet.time();
                fleet.run(seconds(10));
                CHECK(fleet.most_in_window() <= allowed(rate));
                CHECK(static_cast<double>(fleet.arrivals_since(begin)) >= 0.9 * rate * 10);
            });
        }
    }
    GIVEN("a restart of all instances, twice") {
        THEN("the target never gets too much") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_total_load(3 * rate);
                fleet.run(seconds(5));
                fleet.restart_all();
                fleet.run(seconds(3));
                fleet.restart_all();
                fleet.run(seconds(10));
                CHECK(fleet.most_in_window() <= allowed(rate));
            });
        }
    }
    GIVEN("messages that are held up for 3 s") {
        THEN("permits that arrive late are not used") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_total_load(3 * rate);
                fleet.run(seconds(6));
                fleet.hold_messages(seconds(3));
                fleet.run(seconds(10));
                CHECK(fleet.most_in_window() <= allowed(rate));
            });
        }
    }
    GIVEN("a limit that falls to a half") {
        THEN("the senders keep to the new one") {
            for_each_fleet([](simulated_fleet& fleet, double rate) {
                fleet.set_total_load(3 * rate);
                fleet.run(seconds(6));
                fleet.set_rate(rate / 2);
                fleet.run(seconds(4));
                const time_point begin = fleet.time();
                fleet.run(seconds(4));
                CHECK(fleet.arrivals_since(begin) <= allowed(rate / 2));
            });
        }
    }
}

SCENARIO("a limit follows the latest statement of the target") {
    limit_table table;
    REQUIRE(table.apply(make_limit(2, start)) == limit_change::begun);

    GIVEN("a response whose request was sent before") {
        const time_point earlier = start - milliseconds(1);
        THEN("it changes nothing") {
            CHECK(table.apply(make_limit(9, earlier)) == limit_change::none);
            CHECK(table.apply(make_end(earlier)) == limit_change::none);
            CHECK(table.find(target_id("t"))->rate->count() == doctest::Approx(2));
        }
    }
    GIVEN("a later response with another number") {
        THEN("the limit changes") {
            CHECK(table.apply(make_limit(3, start + seconds(1))) == limit_change::changed);
            CHECK(table.find(target_id("t"))->rate->count() == doctest::Approx(3));
        }
    }
    GIVEN("a later response that names none") {
        REQUIRE(table.apply(make_end(start + seconds(1))) == limit_change::ended);
        THEN("the target has no limit, and an older response does not restore it") {
            CHECK(table.find(target_id("t")) == nullptr);
            CHECK(table.apply(make_limit(2, start + milliseconds(500))) == limit_change::none);
            CHECK(table.find(target_id("t")) == nullptr);
        }
    }
    GIVEN("a number with many digits") {
        const limit_statement statement{limit_statement::kind::limited,
                                        requests_per_second(1.23456789)};
        THEN("it is kept as instances report it") {
            const auto stated = table.read(target_id("t"), incarnation_id(1), statement, start);
            REQUIRE(stated);
            CHECK(stated->rate == requests_per_second(1.234568));
        }
    }
    GIVEN("another incarnation of the target") {
        table.set_incarnation(target_id("t"), incarnation_id(2));
        THEN("the limit is gone, and a late response of the earlier one restores it for no one") {
            CHECK(table.find(target_id("t")) == nullptr);
        }
        AND_WHEN("the new one names a limit") {
            REQUIRE(table.apply(make_limit(5, start + seconds(2), 2)) == limit_change::begun);
            THEN("responses of the earlier one change nothing") {
                CHECK(table.apply(make_end(start + seconds(3))) == limit_change::none);
            }
        }
    }
}

SCENARIO("the account of a sender") {
    permit_account account({}, 1);
    const target_id target("t");

    GIVEN("a target without a limit") {
        THEN("it takes any number of requests") {
            for (int i = 0; i < 100; ++i) {
                REQUIRE(account.may_send(target, start));
                account.take(target, start);
            }
            CHECK(account.collect_demands(start).empty());
        }
    }

    GIVEN("a limited target, and two requests that wait") {
        account.apply(make_limit(2, start));
        account.add_waiting(target);
        account.add_waiting(target);
        const auto demands = account.collect_demands(start);
        REQUIRE(demands.size() == 1);
        CHECK(demands[0].waiting == 2);
        CHECK_FALSE(account.may_send(target, start));
        permit_grant grant{target, incarnation_id(1), demands[0].number, 1, milliseconds(700), 9};

        WHEN("one permit is granted") {
            account.handle(grant, start + milliseconds(40));
            THEN("one request may be sent") {
                REQUIRE(account.may_send(target, start + milliseconds(40)));
                account.take(target, start + milliseconds(40));
                CHECK_FALSE(account.may_send(target, start + milliseconds(40)));
                CHECK(account.sent_recently(target, start + seconds(1)) == 1);
                CHECK(account.sent_recently(target, start + seconds(5)) == 0);
            }
            THEN("the time that the issuer told is what one more request waits") {
                account.take(target, start + milliseconds(40));
                CHECK(account.expected_wait(target, start + milliseconds(140)) ==
                      milliseconds(600));
            }
            THEN("it expires, counted from the demand") {
                CHECK(account.may_send(target, start + milliseconds(999)));
                CHECK_FALSE(account.may_send(target, start + milliseconds(1000)));
            }
            THEN("it is gone when the target starts anew with a limit") {
                account.apply(make_limit(2, start + milliseconds(50), 2));
                CHECK_FALSE(account.may_send(target, start + milliseconds(60)));
            }
        }
        WHEN("a grant arrives that was held up") {
            account.handle(grant, start + milliseconds(1100));
            THEN("it is ignored") {
                CHECK_FALSE(account.may_send(target, start + milliseconds(1100)));
            }
        }
        WHEN("a grant is for another incarnation") {
            grant.incarnation = incarnation_id(2);
            account.handle(grant, start + milliseconds(40));
            THEN("it is ignored") {
                CHECK_FALSE(account.may_send(target, start + milliseconds(40)));
            }
        }
        WHEN("the target names no limit any more") {
            account.apply(make_end(start + seconds(1)));
            THEN("requests need no permit, and none is asked for") {
                CHECK(account.may_send(target, start + seconds(1)));
                CHECK(account.collect_demands(start + seconds(2)).empty());
            }
        }
        WHEN("no answer arrives") {
            THEN("the demand is repeated, and the wait is told to be long") {
                CHECK(account.collect_demands(start + milliseconds(299)).empty());
                CHECK(account.collect_demands(start + milliseconds(300)).size() == 1);
                CHECK(account.expected_wait(target, start + seconds(2)) > seconds(60));
            }
        }
    }
}

SCENARIO("the issuer of permits") {
    limit_table table;
    permit_issuer issuer(table, {});
    issuer.set_authority(true);
    const target_id target("t");
    const instance_id first("first");
    const instance_id second("second");
    const auto demand_of = [&](std::uint32_t waiting, std::uint32_t background) {
        return permit_demand{target, incarnation_id(1), 1, waiting, background};
    };

    GIVEN("a target that it knows no limit of") {
        THEN("it answers nobody") {
            CHECK(issuer.handle(first, demand_of(1, 0), start).empty());
        }
    }
    GIVEN("a target that takes one request a second") {
        table.apply(make_limit(1, start));
        WHEN("a sender asks for two permits") {
            const auto answers = issuer.handle(first, demand_of(2, 0), start);
            THEN("it is told the wait at once, and granted as permits accrue") {
                REQUIRE(answers.size() == 1);
                CHECK(answers[0].grant.permits == 0);
                CHECK(answers[0].grant.expected_wait == seconds(3));
                CHECK(issuer.issue(start + milliseconds(600)).empty());
                REQUIRE_FALSE(issuer
                                  .handle(first, {target, incarnation_id(1), 2, 2, 0},
                                          start + milliseconds(600))
                                  .empty());
                const auto granted = issuer.issue(start + milliseconds(1001));
                REQUIRE(granted.size() == 1);
                CHECK(granted[0].grant.permits == 1);
                CHECK(granted[0].grant.demand == 2);
            }
        }
        WHEN("items and a request of a caller wait") {
            REQUIRE(issuer.handle(first, demand_of(0, 5), start).size() == 1);
            REQUIRE(
                issuer
                    .handle(first, {target, incarnation_id(1), 2, 0, 5}, start + milliseconds(500))
                    .size() == 1);
            REQUIRE(issuer.handle(second, demand_of(1, 0), start + milliseconds(500)).size() == 1);
            THEN("the caller's request is first") {
                const auto granted = issuer.issue(start + milliseconds(1001));
                REQUIRE(granted.size() == 1);
                CHECK(granted[0].sender == second);
            }
        }
        WHEN("it has no authority") {
            issuer.set_authority(false);
            THEN("it grants nothing") {
                CHECK(issuer.handle(first, demand_of(1, 0), start).empty());
                CHECK(issuer.issue(start + seconds(5)).empty());
            }
        }
    }
}

} // namespace kingcupcart::permits
