#include "platform_fake.h"

#include <doctest/doctest.h>

#include <random>

using namespace kingcupcart;
using namespace kingcupcart::scaling;
using namespace std::chrono_literals;

namespace {

/// Four replicas in each of three domains, and a leader that has heard of all of them.
platform_fake make_platform(std::int64_t max = 60) {
    platform_fake test(max);
    for (const char* domain : {"d0", "d1", "d2"}) {
        test.start(domain, 4);
    }
    test.send(authority_changed{true});
    return test;
}

/// No domain has two orders without a result, and an order that is repeated names its number again.
bool has_one_order_at_a_time(const std::vector<order_replicas>& orders) {
    std::map<failure_domain_id, order_replicas> latest;
    for (const order_replicas& order : orders) {
        const auto previous = latest.find(order.domain);
        if (order.is_repeated &&
            (previous == latest.end() || previous->second.desired != order.desired ||
             previous->second.kind != order.kind)) {
            return false;
        }
        latest.insert_or_assign(order.domain, order);
    }
    return true;
}

} // namespace

// Guards against orders from ignorance: `desired` is the number to have, so a low one ends
// replicas.
SCENARIO("nothing is ordered before the demand is known") {
    platform_fake test = make_platform();
    GIVEN("no steps have been submitted") {
        test.run(60s);
        THEN("there are no orders") {
            CHECK(test.orders.empty());
        }
        WHEN("steps need fewer slots than there are") {
            test.set_demand(8);
            test.run(60s);
            THEN("no domain is ordered to have fewer normal replicas than it has") {
                for (const order_replicas& order : test.orders) {
                    CHECK((order.kind == replica_kind::spot || order.desired >= replica_count(4)));
                }
            }
        }
    }
    GIVEN("a leader that has just begun") {
        test.set_demand(48);
        test.run(4s);
        THEN("it waits for announcements first") {
            CHECK(test.orders.empty());
        }
    }
}

// Guards against a fleet that grows one by one while steps are late, and one that flaps.
SCENARIO("replicas follow the demand of the steps") {
    platform_fake test = make_platform();
    test.set_demand(40); // two steps in flight need 10 replicas
    test.run(30s);
    REQUIRE(test.total() == 12);
    CHECK(test.count("d1", replica_kind::spot) == 1);
    WHEN("the demand rises tenfold") {
        test.set_demand(400); // 100 replicas
        const std::size_t before = test.orders.size();
        test.run(1100ms);
        THEN("one order in each domain asks for all that is missing") {
            REQUIRE(test.orders.size() == before + 3);
            std::int64_t ordered = 0;
            for (std::size_t i = before; i < test.orders.size(); ++i) {
                ordered += test.orders[i].desired.count();
                CHECK(test.orders[i].reason == order_reason::demand);
                CHECK(test.orders[i].basis.needed_slots == slot_count(800));
            }
            CHECK(ordered == 100);
        }
        test.run(5s);
        THEN("the replicas serve after the boot time, and no domain holds most of them") {
            CHECK(test.total() == 100);
            CHECK(test.count("d0") <= 34);
        }
        AND_WHEN("the trainers pause for a minute") {
            test.set_demand(0);
            const std::size_t orders = test.orders.size();
            test.run(60s);
            THEN("no replica is ended") {
                CHECK(test.orders.size() == orders);
            }
        }
        AND_WHEN("the demand stays low") {
            test.set_demand(40);
            test.run(10min);
            THEN("the number falls once, the expensive domain first, never below one") {
                CHECK(test.total() == 10);
                CHECK(test.count("d2") >= 1);
                CHECK(test.count("d2") <= test.count("d0"));
                CHECK(test.orders.size() <= before + 3 + 6);
            }
        }
        AND_WHEN("the load reports stop") {
            test.load.reset();
            test.run(10min);
            THEN("the last number is kept") {
                CHECK(test.total() == 100);
            }
        }
    }
    WHEN("the demand varies from step to step") {
        const std::size_t before = test.orders.size();
        for (int i = 0; i < 200; ++i) {
            test.set_demand(i % 2 == 0 ? 48 : 8);
            test.run(4s);
        }
        THEN("no orders follow it") {
            CHECK(test.orders.size() == before);
        }
    }
}

// Guards against waiting for capacity that a domain does not have.
SCENARIO("a failure domain has no replicas left") {
    platform_fake test = make_platform();
    test.exhausted = {{"d0", replica_kind::normal}, {"d0", replica_kind::spot}};
    test.set_demand(160); // 40 replicas
    test.run(11s);
    THEN("the others take what is missing, and the reserve of the domain") {
        CHECK(test.count("d0") == 4);
        CHECK(test.total() >= 40);
    }
    THEN("the domain is asked again only after a while") {
        const auto asked =
            std::count_if(test.orders.begin(), test.orders.end(), [](const auto& order) {
                return order.domain == failure_domain_id("d0");
            });
        CHECK(asked <= 2);
    }
    WHEN("all are at their maximum") {
        platform_fake small = make_platform(6);
        small.set_demand(160);
        small.run(30s);
        THEN("no more is ordered, of both kinds together") {
            for (const char* domain : {"d0", "d1", "d2"}) {
                CHECK(small.count(domain) + small.count(domain, replica_kind::spot) == 6);
            }
        }
    }
}

// Guards against replicas that are taken away under load, since more of them run than may be
// ordered: a lower `max` says nothing of what the load needs.
SCENARIO("more replicas run than the maximum") {
    platform_fake test = make_platform(2);
    GIVEN("steps that need all of them") {
        test.set_demand(160); // 40 replicas
        test.run(30s);
        THEN("they stay, and no number above the maximum is ordered") {
            for (const char* domain : {"d0", "d1", "d2"}) {
                CHECK(test.count(domain) == 4);
            }
            CHECK(std::none_of(test.orders.begin(), test.orders.end(),
                               [](const auto& order) { return order.desired.count() > 2; }));
        }
        WHEN("one is lost") {
            test.lose("d0", 1);
            test.run(30s);
            THEN("the others stay") {
                CHECK(test.count("d0") == 3);
            }
        }
    }
}

// Guards against a rejected order that is repeated without end, or that holds up the others.
SCENARIO("the platform rejects the orders for a failure domain") {
    platform_fake test = make_platform();
    test.rejected = {"d0"};
    test.set_demand(160); // 40 replicas
    test.run(50s);
    THEN("others take what is missing, and each kind is ordered there once in a minute") {
        CHECK(test.count("d0") == 4);
        CHECK(test.total() >= 40);
        const auto asked =
            std::count_if(test.orders.begin(), test.orders.end(), [](const auto& order) {
                return order.domain == failure_domain_id("d0");
            });
        CHECK(asked == 2);
    }
}

// Guards against lost replicas that are not replaced. Whether the platform replaces them by itself
// can't be read from it.
SCENARIO("replicas are lost") {
    platform_fake test = make_platform();
    test.set_demand(48); // 12 replicas
    test.run(20s);
    const std::size_t before = test.orders.size();
    WHEN("one ends without notice") {
        test.lose("d1", 1);
        THEN("its domain is ordered to have as many as before") {
            REQUIRE(test.orders.size() == before + 1);
            CHECK(test.orders.back().reason == order_reason::replacement);
            CHECK(test.orders.back().desired == replica_count(4));
            test.run(6s);
            CHECK(test.total() == 12);
        }
    }
    WHEN("a whole domain is lost, and gets no replicas") {
        test.ineffective = {"d1"};
        test.lose("d1", 4);
        test.run(6s);
        THEN("others replace it at once") {
            CHECK(test.total() == 12);
        }
        AND_WHEN("another keeper leads meanwhile") {
            test.change_leader();
            test.set_demand(56); // 14 replicas
            test.run(60s);
            THEN("the domain, which may be out of reach only, is not ordered to have fewer") {
                for (const order_replicas& order : test.orders) {
                    if (order.domain == failure_domain_id("d1") &&
                        order.kind == replica_kind::normal) {
                        CHECK(order.desired >= replica_count(4));
                    }
                }
                CHECK(test.total() >= 14);
            }
        }
    }
    WHEN("an accepted order brings no replica") {
        test.ineffective = {"d0"};
        test.set_demand(96); // 24 replicas
        test.run(25s);
        THEN("that is reported, and others are ordered elsewhere") {
            REQUIRE_FALSE(test.missing.empty());
            CHECK(test.missing[0].domain == failure_domain_id("d0"));
            CHECK(test.missing[0].since_order >= 12s);
            CHECK(test.total() >= 24);
        }
    }
}

// Guards against a second order while the outcome of the first is open, and against a storm of
// calls at a platform in trouble.
SCENARIO("the platform does not answer") {
    platform_fake test = make_platform();
    test.set_demand(48);
    test.run(20s);
    const std::size_t before = test.orders.size();
    const auto check_outage = [&] {
        test.set_demand(96);
        test.run(10s);
        const std::size_t during = test.orders.size() - before;
        CHECK(during >= 3);
        CHECK(during <= 24);
        test.is_out = false;
        test.is_busy = false;
        test.run(9s);
        CHECK(test.total() == 24);
        CHECK(has_one_order_at_a_time(test.orders));
    };
    WHEN("it is out for 10 seconds") {
        test.is_out = true;
        THEN("the same orders are repeated with growing delays, and then executed") {
            check_outage();
        }
    }
    WHEN("it accepts no more calls for 10 seconds") {
        test.is_busy = true;
        THEN("the same orders are repeated with growing delays, and then executed") {
            check_outage();
        }
    }
    WHEN("another keeper leads while orders are open") {
        test.is_out = true;
        test.set_demand(96);
        test.run(5s);
        test.change_leader();
        test.is_out = false;
        test.run(20s);
        THEN("the new one orders what is missing by itself") {
            CHECK(test.total() == 24);
        }
    }
}

// Guards against steps that depend on replicas which all end in the same moment.
SCENARIO("spot replicas are reclaimed in one domain") {
    platform_fake test = make_platform();
    test.set_demand(48); // 12 replicas
    test.run(20s);
    REQUIRE(test.count("d1", replica_kind::spot) == 1);
    test.exhausted = {{"d1", replica_kind::spot}};
    test.reclaim("d1");
    THEN("the normal replicas have all the slots that the steps need") {
        CHECK(test.total() == 12);
    }
    THEN("a normal replica takes the place of the reserve, and spot ones are not asked for") {
        test.run(30s);
        CHECK(test.total() == 13);
        CHECK(test.orders.back().kind == replica_kind::normal);
    }
}

// Guards against combinations of faults that leave too few replicas for good, or end some.
SCENARIO("the number of replicas recovers from any faults") {
    for (unsigned seed = 0; seed < 300; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto draw = [&](unsigned below) { return random() % below; };
        platform_fake test = make_platform(16);
        test.set_demand(48);
        for (int second = 0; second < 100; ++second) {
            const std::string domain = "d" + std::to_string(draw(3));
            const auto kind = draw(3) == 0 ? replica_kind::spot : replica_kind::normal;
            switch (draw(14)) {
            case 0:
                test.is_out = !test.is_out;
                break;
            case 1:
                test.is_busy = !test.is_busy;
                break;
            case 2:
                test.loses_responses = !test.loses_responses;
                break;
            case 3:
                test.exhausted.insert({domain, kind});
                break;
            case 4:
                test.exhausted.clear();
                break;
            case 5:
                test.ineffective.insert(domain);
                break;
            case 6:
                test.ineffective.clear();
                break;
            case 7:
                test.lose(domain, static_cast<int>(test.count(domain, kind)), kind);
                break;
            case 8:
                test.lose(domain, static_cast<int>(std::min<std::int64_t>(1, test.count(domain))));
                break;
            case 9:
                test.reclaim(domain);
                break;
            case 10:
                test.change_leader();
                break;
            case 11:
                test.set_demand(static_cast<std::int64_t>(8 + draw(150)));
                break;
            default:
                break;
            }
            test.run(1s);
        }
        test.is_out = test.is_busy = test.loses_responses = false;
        test.exhausted.clear();
        test.ineffective.clear();
        test.set_demand(160); // 40 of at most 48
        test.run(70s);
        CHECK(test.total() >= 40);
        CHECK_FALSE(test.has_two_open);
        for (const char* domain : {"d0", "d1", "d2"}) {
            CHECK(test.count(domain) + test.count(domain, replica_kind::spot) <= 16);
        }
        for (const order_replicas& order : test.orders) {
            // Replicas are ended only where more than the needed ones are expected.
            const bool is_surplus =
                order.reason == order_reason::surplus && order.basis.expected > order.basis.needed;
            CHECK((order.kind == replica_kind::spot || is_surplus ||
                   order.desired >= order.basis.present));
        }
    }
}
