#include "relays/reach_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::relays;

namespace {

const backend_name chat("chat");
const backend_name app("app");

relay make_gateway(const std::string& domain, std::size_t index) {
    return {instance_id(domain + std::to_string(index)),
            {failure_domain_id(domain), region_id("north")}};
}

std::size_t count_domain(const std::vector<instance_id>& drawn, const std::string& domain) {
    return static_cast<std::size_t>(
        std::count_if(drawn.begin(), drawn.end(),
                      [&](const instance_id& id) { return id.value().starts_with(domain); }));
}

} // namespace

SCENARIO("gateways that reach a backend are named to those that ask") {
    reach_table table(1);
    const std::vector<std::string> domains = {"a", "b", "c"};
    for (const std::string& domain : domains) {
        for (std::size_t i = 0; i < 10; ++i) {
            table.add(make_gateway(domain, i));
        }
    }
    const relay asker = make_gateway("a", 0);
    const auto cut_off = [&](const std::string& domain, std::size_t from, std::size_t to,
                             const std::set<backend_name>& backends) {
        for (std::size_t i = from; i < to; ++i) {
            table.set_cut_off(make_gateway(domain, i).id, backends);
        }
    };

    GIVEN("only the asking gateway cut off") {
        cut_off("a", 0, 1, {chat});
        THEN("each answer has three of its domain and three others, never itself") {
            for (int i = 0; i < 200; ++i) {
                const auto drawn = table.draw(asker, chat);
                CHECK(drawn.size() == reach_table::max_candidates);
                CHECK(count_domain(drawn, "a") == reach_table::max_of_domain);
                CHECK(std::find(drawn.begin(), drawn.end(), asker.id) == drawn.end());
                CHECK(std::set<instance_id>(drawn.begin(), drawn.end()).size() == drawn.size());
            }
        }
        THEN("all gateways are named about as often as others of their domain") {
            std::map<instance_id, int> named;
            for (int i = 0; i < 900; ++i) {
                for (const instance_id& id : table.draw(asker, chat)) {
                    ++named[id];
                }
            }
            CHECK(named.size() == 29);
            for (const auto& [id, count] : named) {
                // 300 in the mean in its domain, 135 elsewhere.
                const int mean = id.value().starts_with("a") ? 300 : 135;
                CHECK(count > mean / 2);
                CHECK(count < mean * 3 / 2);
            }
        }
    }
    GIVEN("its whole domain cut off") {
        cut_off("a", 0, 10, {chat});
        THEN("only others are named") {
            const auto drawn = table.draw(asker, chat);
            CHECK(drawn.size() == reach_table::max_candidates);
            CHECK(count_domain(drawn, "a") == 0);
        }
        THEN("they are named for another backend") {
            CHECK(count_domain(table.draw(asker, app), "a") == reach_table::max_of_domain);
        }
    }
    GIVEN("nearly its whole domain cut off") {
        cut_off("a", 0, 9, {chat});
        THEN("the one that is left is not named each time") {
            std::size_t named = 0;
            for (int i = 0; i < 100; ++i) {
                named += count_domain(table.draw(asker, chat), "a");
            }
            CHECK(named > 0);
            CHECK(named < 50);
        }
    }
    GIVEN("all but two gateways cut off") {
        for (const std::string& domain : domains) {
            cut_off(domain, 0, 10, {chat});
        }
        table.set_cut_off(make_gateway("b", 1).id, {});
        table.set_cut_off(make_gateway("c", 1).id, {app});
        THEN("these are named") {
            const auto drawn = table.draw(asker, chat);
            CHECK(std::set<instance_id>(drawn.begin(), drawn.end()) ==
                  std::set<instance_id>{instance_id("b1"), instance_id("c1")});
        }
        WHEN("one of them leaves") {
            table.remove(instance_id("b1"));
            CHECK(table.draw(asker, chat) == std::vector<instance_id>{instance_id("c1")});
        }
    }
    GIVEN("all gateways cut off") {
        for (const std::string& domain : domains) {
            cut_off(domain, 0, 10, {chat});
        }
        CHECK(table.draw(asker, chat).empty());
        CHECK(table.cut_off_count() == 30);
    }
    GIVEN("a gateway that was cut off and is added again") {
        cut_off("a", 1, 2, {chat});
        table.add(make_gateway("a", 1));
        THEN("its earlier report does not count") {
            CHECK(table.cut_off_count() == 0);
        }
    }
    GIVEN("reports that change nothing") {
        CHECK(table.set_cut_off(instance_id("a1"), {chat}));
        CHECK(!table.set_cut_off(instance_id("a1"), {chat}));
        CHECK(!table.set_cut_off(instance_id("unknown"), {chat}));
    }
}
