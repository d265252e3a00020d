#include "keeper/internal/relay_directory.h"

#include "wire/codec.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;

namespace {

const backend_name chat("chat");
const backend_name app("app");

wire::hello greeting(const std::string& id, const std::string& domain,
                     wire::instance_role role = wire::instance_role::gateway) {
    wire::hello hello;
    hello.instance = instance_id(id);
    hello.incarnation = incarnation_id(1);
    hello.place = {failure_domain_id(domain), region_id("north")};
    hello.role = role;
    hello.address = {"127.0.0.1", 7000};
    return hello;
}

/// A keeper's directory, and what it sends.
struct asked_directory {
    std::vector<std::pair<instance_id, wire::relay_lookup_response>> sent;
    relay_directory subject{{[this](const instance_id& to, const wire::message& message) {
                                 this->sent.emplace_back(
                                     to, std::get<wire::relay_lookup_response>(message));
                             },
                             1}};
    std::uint64_t last_link = 0;
    std::uint64_t last_lookup = 0;

    std::uint64_t connect(const wire::hello& hello) {
        this->subject.connected(++this->last_link, hello);
        return this->last_link;
    }
    void report(std::uint64_t link, const wire::hello& from, std::vector<backend_name> cut_off) {
        CHECK(this->subject.handle(link, from, wire::reach_report{std::move(cut_off)}));
    }
    std::vector<wire::relay_candidate> candidates(const wire::hello& from,
                                                  const backend_name& backend = chat) {
        const std::size_t before = this->sent.size();
        CHECK(this->subject.handle(0, from,
                                   wire::relay_lookup_request{++this->last_lookup, backend}));
        REQUIRE(this->sent.size() == before + 1);
        CHECK(this->sent.back().first == from.instance);
        CHECK(this->sent.back().second.lookup == this->last_lookup);
        return this->sent.back().second.candidates;
    }
    std::set<std::string> names(const wire::hello& from, const backend_name& backend = chat) {
        std::set<std::string> named;
        for (const wire::relay_candidate& candidate : this->candidates(from, backend)) {
            named.insert(candidate.id.value());
        }
        return named;
    }
    double metric(const std::string& name) const {
        telemetry::metric_set metrics;
        this->subject.export_metrics(metrics);
        const std::string text = "\n" + metrics.exposition();
        const auto at = text.find("\nkingcupcart_" + name + " ");
        REQUIRE(at != std::string::npos);
        return std::stod(text.substr(text.find(' ', at) + 1));
    }
};

} // namespace

SCENARIO("a gateway that is cut off is told which others may forward its calls") {
    asked_directory directory;
    const wire::hello asker = greeting("a0", "a");
    const wire::hello other = greeting("a1", "a");
    const std::uint64_t asker_link = directory.connect(asker);
    const std::uint64_t other_link = directory.connect(other);

    GIVEN("gateways in three domains") {
        for (int i = 2; i < 8; ++i) {
            directory.connect(greeting("a" + std::to_string(i), "a"));
            directory.connect(greeting("b" + std::to_string(i), "b"));
            directory.connect(greeting("c" + std::to_string(i), "c"));
        }
        THEN("three of its domain and three others are named, with address and place") {
            const auto named = directory.candidates(asker);
            CHECK(named.size() == 6);
            CHECK(std::count_if(named.begin(), named.end(), [](const auto& candidate) {
                      return candidate.place.domain == failure_domain_id("a");
                  }) == 3);
            for (const wire::relay_candidate& candidate : named) {
                CHECK(candidate.id != asker.instance);
                CHECK(candidate.address == asker.address);
            }
        }
        THEN("other gateways are named the next time") {
            std::set<std::string> seen;
            for (int i = 0; i < 50; ++i) {
                seen.merge(directory.names(asker));
            }
            CHECK(seen.size() == 19);
        }
    }
    GIVEN("a gateway that has no address for links") {
        wire::hello without = greeting("a2", "a");
        without.address = {};
        directory.connect(without);
        THEN("it is not named, and may ask") {
            CHECK(directory.names(asker) == std::set<std::string>{"a1"});
            CHECK(directory.names(without) == std::set<std::string>{"a0", "a1"});
        }
    }
    GIVEN("stores and keepers with links") {
        directory.connect(greeting("s", "a", wire::instance_role::store));
        directory.connect(greeting("k", "a", wire::instance_role::keeper));
        THEN("they are not named") {
            CHECK(directory.names(asker) == std::set<std::string>{"a1"});
        }
    }
    GIVEN("a gateway that reports what it is cut off from") {
        directory.report(other_link, other, {chat});
        THEN("it is named for other backends only") {
            CHECK(directory.names(asker, chat).empty());
            CHECK(directory.names(asker, app) == std::set<std::string>{"a1"});
            CHECK(directory.metric("keeper_gateways_cut_off") == 1);
            CHECK(directory.metric("keeper_relays") == 2);
            CHECK(directory.metric("keeper_relay_lookups") == 2);
            CHECK(directory.metric("keeper_relay_lookups_without_relay") == 1);
        }
        WHEN("it reports that it reaches all") {
            directory.report(other_link, other, {});
            THEN("it is named again") {
                CHECK(directory.names(asker) == std::set<std::string>{"a1"});
            }
        }
        WHEN("its link is lost") {
            directory.subject.disconnected(other_link, other.instance);
            THEN("it is not named for any backend") {
                CHECK(directory.names(asker, app).empty());
                CHECK(directory.metric("keeper_relays") == 1);
            }
            AND_WHEN("it connects again") {
                directory.connect(other);
                THEN("its earlier report does not count") {
                    CHECK(directory.names(asker) == std::set<std::string>{"a1"});
                }
            }
        }
        // A gateway that reconnects opens a link before the keeper has noticed that the earlier
        // one is lost.
        WHEN("it opens another link") {
            const std::uint64_t new_link = directory.connect(other);
            THEN("its earlier report does not count") {
                CHECK(directory.names(asker) == std::set<std::string>{"a1"});
            }
            AND_WHEN("a late report arrives over the earlier link") {
                directory.report(other_link, other, {chat});
                THEN("it does not count") {
                    CHECK(directory.names(asker) == std::set<std::string>{"a1"});
                }
            }
            AND_WHEN("it reports over the new link, and the earlier one is lost") {
                directory.report(new_link, other, {chat});
                directory.subject.disconnected(other_link, other.instance);
                THEN("the new report counts") {
                    CHECK(directory.names(asker).empty());
                    CHECK(directory.names(asker, app) == std::set<std::string>{"a1"});
                }
            }
        }
        WHEN("a later incarnation of it connects") {
            wire::hello restarted = other;
            restarted.incarnation = incarnation_id(2);
            directory.connect(restarted);
            THEN("the report of the earlier one does not count") {
                CHECK(directory.names(asker) == std::set<std::string>{"a1"});
            }
            AND_WHEN("a link of the earlier incarnation turns up late") {
                const std::uint64_t late_link = directory.connect(other);
                directory.report(late_link, other, {chat});
                directory.subject.disconnected(late_link, other.instance);
                THEN("it changes nothing") {
                    CHECK(directory.names(asker) == std::set<std::string>{"a1"});
                }
            }
        }
    }
    GIVEN("all gateways cut off") {
        directory.report(asker_link, asker, {chat});
        directory.report(other_link, other, {chat});
        THEN("none is named") {
            CHECK(directory.names(asker).empty());
        }
    }
    GIVEN("a message about something else") {
        CHECK(!directory.subject.handle(asker_link, asker, wire::keepalive{}));
    }
}

SCENARIO("relays cost nothing while no gateway is cut off, and little when most are") {
    GIVEN("249 gateways, 149 of which are cut off from two backends at once") {
        constexpr std::size_t gateways = 249;
        constexpr std::size_t cut_off = 149;
        asked_directory directory;
        std::vector<wire::hello> all;
        for (std::size_t i = 0; i < gateways; ++i) {
            wire::hello hello = greeting("front-schwaben-a-" + std::to_string(i),
                                         "schwaben-" + std::to_string(i % 10));
            hello.address = {"10.31.240." + std::to_string(i), 20'000};
            all.push_back(hello);
            directory.connect(hello);
        }
        wire::hello without_address = all.back();
        without_address.address = {};
        const std::size_t address_bytes =
            wire::encode(all.back()).size() - wire::encode(without_address).size();
        std::size_t report_bytes = 0;
        std::size_t lookup_bytes = 0;
        for (std::size_t i = 0; i < cut_off; ++i) {
            directory.report(i + 1, all[i], {chat, app});
            report_bytes += wire::encode(wire::reach_report{{chat, app}}).size();
        }
        for (std::size_t i = 0; i < cut_off; ++i) {
            for (const backend_name& backend : {chat, app}) {
                CHECK(directory.candidates(all[i], backend).size() == 6);
                lookup_bytes +=
                    wire::encode(wire::relay_lookup_request{directory.last_lookup, backend})
                        .size() +
                    wire::encode(directory.sent.back().second).size();
            }
        }
        THEN("a hello is longer by an address, and a cut costs a keeper a few messages a gateway") {
            MESSAGE("bytes of an address in a hello ", address_bytes, ", reports to one keeper ",
                    report_bytes, ", lookups ", lookup_bytes);
            CHECK(address_bytes < 24);
            CHECK(report_bytes < cut_off * 40);
            CHECK(lookup_bytes < cut_off * 2 * 600);
        }
    }
}
