#include "streams/holders.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::streams;

namespace {

const failure_domain_id north("north");
const failure_domain_id south("south");
const failure_domain_id bare("without a keeper");

std::vector<keeper_place> two_domains() {
    std::vector<keeper_place> keepers;
    for (int i = 0; i < 6; ++i) {
        keepers.push_back({instance_id("k" + std::to_string(i)), i < 3 ? north : south});
    }
    return keepers;
}

bool contains(const std::vector<instance_id>& keepers, const instance_id& keeper) {
    return std::find(keepers.begin(), keepers.end(), keeper) != keepers.end();
}

bool is_in_north(const instance_id& keeper) {
    return keeper < instance_id("k3");
}

} // namespace

SCENARIO("two keepers hold the record of a stream") {
    GIVEN("three keepers in each of two failure domains, and gateways in three domains") {
        const std::vector<keeper_place> keepers = two_domains();
        constexpr int streams = 6000;
        std::map<instance_id, int> records;
        for (int i = 0; i < streams; ++i) {
            const stream_id stream("attempt" + std::to_string(i));
            for (const failure_domain_id& domain : {north, south, bare}) {
                const auto holders = choose_holders(stream, domain, keepers);
                REQUIRE(holders.size() == 2);
                CHECK(holders[0] != holders[1]);
                if (domain != bare) {
                    CHECK(is_in_north(holders[0]) == (domain == north));
                }
                for (const instance_id& holder : holders) {
                    ++records[holder];
                }
                for (const failure_domain_id& other : {north, south, bare}) {
                    const lookup_order order = order_for_lookup(stream, other, keepers);
                    CHECK(order.likely.size() == 2);
                    CHECK(order.others.size() == 4);
                    CHECK(
                        (contains(order.likely, holders[0]) || contains(order.likely, holders[1])));
                }
            }
        }
        THEN("each keeper holds about as many records as the others") {
            REQUIRE(records.size() == 6);
            for (const auto& [keeper, count] : records) {
                CHECK(count > streams * 9 / 10);
                CHECK(count < streams * 11 / 10);
            }
        }
    }
    GIVEN("a single keeper") {
        const std::vector<keeper_place> keepers = {{instance_id("k"), south}};
        THEN("it holds every record and is the only one to be asked") {
            CHECK(choose_holders(stream_id("a"), north, keepers).size() == 1);
            const lookup_order order = order_for_lookup(stream_id("a"), north, keepers);
            CHECK(order.likely.size() == 1);
            CHECK(order.others.empty());
        }
    }
    GIVEN("no keeper") {
        THEN("no keeper holds the record") {
            CHECK(choose_holders(stream_id("a"), north, {}).empty());
        }
    }
}
