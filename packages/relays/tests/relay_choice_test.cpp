#include "relays/relay_choice.h"

#include "base/manual_clock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::relays;
using namespace std::chrono_literals;

namespace {

const backend_name chat("chat");
const backend_name app("app");

relay make_relay(const std::string& id, const std::string& domain, const std::string& region) {
    return {instance_id(id), {failure_domain_id(domain), region_id(region)}};
}

/// The choice of an instance in domain a of region north.
struct asking_instance {
    manual_clock time;
    relay_limits limits;
    relay_choice choice{{failure_domain_id("a"), region_id("north")}, relay_limits(), 1};

    asking_instance() { this->time.advance(1h); }

    std::vector<instance_id> dial(const backend_name& backend = chat) {
        auto dialled = this->choice.choose_dials(backend, {}, this->time.now());
        for (const instance_id& relay : dialled) {
            this->choice.link_dialled(relay);
        }
        std::sort(dialled.begin(), dialled.end());
        return dialled;
    }
    /// Opens all links that are wanted now.
    std::vector<instance_id> open(const backend_name& backend = chat) {
        const auto dialled = this->dial(backend);
        for (const instance_id& relay : dialled) {
            this->choice.link_opened(relay, this->time.now());
        }
        return dialled;
    }
    std::string chosen(const std::set<instance_id>& passed_over = {}) {
        const auto relay = this->choice.choose(chat, passed_over, this->time.now());
        return relay ? relay->value() : "";
    }
    void send(const std::string& relay, std::size_t calls) {
        for (std::size_t i = 0; i < calls; ++i) {
            this->choice.call_sent(instance_id(relay));
        }
    }
};

const std::vector<instance_id> own_relays = {instance_id("a1"), instance_id("a2")};

} // namespace

SCENARIO("calls go to relays of the own failure domain first") {
    asking_instance asking;
    asking.choice.set_candidates(chat,
                                 {make_relay("c1", "c", "south"), make_relay("b1", "b", "north"),
                                  make_relay("a1", "a", "north"), make_relay("b2", "b", "north"),
                                  make_relay("a2", "a", "north")});

    GIVEN("no link") {
        CHECK(asking.chosen().empty());
        THEN("both relays of the own domain are dialled, and no other") {
            CHECK(asking.dial() == own_relays);
            CHECK(asking.dial().empty());
            CHECK(asking.chosen().empty());
        }
    }
    GIVEN("links to both relays of the own domain") {
        REQUIRE(asking.open() == own_relays);
        THEN("both get calls") {
            std::map<std::string, int> calls;
            for (int i = 0; i < 100; ++i) {
                ++calls[asking.chosen()];
            }
            CHECK(calls["a1"] > 20);
            CHECK(calls["a2"] > 20);
        }
        WHEN("one of them carries more calls") {
            asking.send("a1", 2);
            THEN("the other one gets most") {
                int others = 0;
                for (int i = 0; i < 100; ++i) {
                    others += asking.chosen() == "a2" ? 1 : 0;
                }
                CHECK(others > 60);
            }
        }
        WHEN("a call was refused by one") {
            THEN("its second try goes to the other") {
                CHECK(asking.chosen({instance_id("a1")}) == "a2");
            }
        }
        WHEN("one refuses calls of the backend") {
            asking.choice.call_refused(instance_id("a1"), chat, asking.time.now());
            THEN("it is passed over, and a relay elsewhere is dialled in its place") {
                for (int i = 0; i < 20; ++i) {
                    CHECK(asking.chosen() == "a2");
                }
                const auto dialled = asking.dial();
                REQUIRE(dialled.size() == 1);
                CHECK(dialled.front().value().starts_with("b"));
            }
            THEN("it gets calls again after the pause") {
                asking.time.advance(asking.limits.refusal_pause);
                std::set<std::string> seen;
                for (int i = 0; i < 50; ++i) {
                    seen.insert(asking.chosen());
                }
                CHECK(seen.contains("a1"));
            }
            THEN("it may still get calls of another backend") {
                asking.choice.set_candidates(app, {make_relay("a1", "a", "north")});
                CHECK(asking.choice.choose(app, {}, asking.time.now()) == instance_id("a1"));
            }
        }
        WHEN("both refuse") {
            asking.choice.call_refused(instance_id("a1"), chat, asking.time.now());
            asking.choice.call_refused(instance_id("a2"), chat, asking.time.now());
            THEN("relays of other domains take the calls") {
                CHECK(asking.chosen().empty());
                asking.open();
                CHECK(asking.chosen().starts_with("b"));
            }
        }
        WHEN("both carry many calls") {
            asking.send("a1", asking.limits.calls_per_link);
            asking.send("a2", asking.limits.calls_per_link);
            const auto dialled = asking.open();
            THEN("one further link is opened, and gets calls") {
                REQUIRE(dialled.size() == 1);
                CHECK(dialled.front().value().starts_with("b"));
                CHECK(asking.chosen() == dialled.front().value());
                CHECK(asking.dial().empty());
            }
        }
        WHEN("the keepers name others") {
            asking.choice.set_candidates(chat, {make_relay("b3", "b", "north")});
            THEN("the relays with links stay in use") {
                CHECK(asking.dial().empty());
                CHECK(asking.chosen().starts_with("a"));
            }
        }
        WHEN("the keepers name others than those that refuse") {
            asking.choice.call_refused(instance_id("a1"), chat, asking.time.now());
            asking.choice.set_candidates(chat, {make_relay("b3", "b", "north")});
            THEN("those get no calls any more") {
                asking.time.advance(asking.limits.refusal_pause);
                for (int i = 0; i < 20; ++i) {
                    CHECK(asking.chosen() == "a2");
                }
            }
        }
        WHEN("a relay is stopping while it has a call") {
            asking.send("a1", 1);
            asking.choice.link_stopping(instance_id("a1"), asking.time.now());
            THEN("it gets no further calls, and another one is dialled") {
                for (int i = 0; i < 20; ++i) {
                    CHECK(asking.chosen() == "a2");
                }
                CHECK(asking.dial().size() == 1);
            }
            THEN("its link is closed once the call has ended, and not dialled again at once") {
                CHECK(asking.choice.idle_links(asking.time.now()).empty());
                asking.choice.call_ended(instance_id("a1"), asking.time.now());
                CHECK(asking.choice.idle_links(asking.time.now()) ==
                      std::vector<instance_id>{instance_id("a1")});
                asking.choice.link_closed(instance_id("a1"));
                const auto dialled = asking.dial();
                REQUIRE(dialled.size() == 1);
                CHECK(dialled.front() != instance_id("a1"));
            }
        }
        WHEN("a link is lost") {
            asking.choice.link_lost(instance_id("a1"), asking.time.now());
            THEN("its relay is not dialled again at once") {
                const auto dialled = asking.dial();
                REQUIRE(dialled.size() == 1);
                CHECK(dialled.front() != instance_id("a1"));
            }
        }
    }
}

SCENARIO("an instance has few links to relays, and closes idle ones") {
    asking_instance asking;
    std::vector<relay> many;
    for (int i = 0; i < 8; ++i) {
        many.push_back(make_relay("a" + std::to_string(i), "a", "north"));
    }
    asking.choice.set_candidates(chat, many);

    GIVEN("relays that refuse one after the other") {
        std::size_t links = 0;
        for (int i = 0; i < 8; ++i) {
            for (const instance_id& relay : asking.open()) {
                ++links;
                asking.choice.call_refused(relay, chat, asking.time.now());
            }
        }
        THEN("no more links are opened than allowed") {
            CHECK(links == asking.limits.max_links);
        }
        WHEN("an unused link is replaced") {
            const auto unused = asking.choice.replaceable_link(chat, asking.time.now());
            REQUIRE(unused);
            asking.choice.link_closed(*unused);
            THEN("another relay can be dialled") {
                const auto dialled = asking.dial();
                REQUIRE(dialled.size() == 1);
                CHECK(dialled.front() != *unused);
            }
        }
    }
    GIVEN("two links, one with a call") {
        const auto opened = asking.open();
        REQUIRE(opened.size() == 2);
        asking.choice.call_sent(opened.front());
        asking.time.advance(asking.limits.max_idle);
        THEN("the other one is idle") {
            CHECK(asking.choice.idle_links(asking.time.now()) ==
                  std::vector<instance_id>{opened.back()});
        }
        WHEN("the call ends") {
            asking.choice.call_ended(opened.front(), asking.time.now());
            THEN("its link is idle later") {
                CHECK(asking.choice.idle_links(asking.time.now()).size() == 1);
                asking.time.advance(asking.limits.max_idle);
                CHECK(asking.choice.idle_links(asking.time.now()).size() == 2);
            }
        }
    }
    GIVEN("three backends, for which keepers have named different relays") {
        asking.open();
        const backend_name other("other");
        asking.choice.set_candidates(
            app, {make_relay("a10", "a", "north"), make_relay("a11", "a", "north")});
        asking.choice.set_candidates(
            other, {make_relay("a12", "a", "north"), make_relay("a13", "a", "north")});
        THEN("they share the links") {
            for (const backend_name& backend : {app, other}) {
                CHECK(asking.open(backend).empty());
                CHECK(asking.choice.choose(backend, {}, asking.time.now()));
            }
        }
        WHEN("the linked relays refuse calls of one of them") {
            for (const char* id : {"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7"}) {
                asking.choice.call_refused(instance_id(id), other, asking.time.now());
            }
            THEN("links to the relays that were named for it are opened") {
                CHECK(asking.open(other) ==
                      std::vector<instance_id>{instance_id("a12"), instance_id("a13")});
                CHECK(asking.choice.choose(other, {}, asking.time.now()));
            }
            THEN("those who refused are not asked again while others are named") {
                asking.time.advance(asking.limits.longest_refusal_pause);
                asking.open(other);
                for (int i = 0; i < 20; ++i) {
                    const auto chosen = asking.choice.choose(other, {}, asking.time.now());
                    REQUIRE(chosen);
                    CHECK(chosen->value().starts_with("a1"));
                    CHECK(chosen->value().size() == 3);
                }
            }
        }
    }
    GIVEN("links that all take calls") {
        for (std::size_t i = 0; i < asking.limits.max_links; ++i) {
            for (const instance_id& relay : asking.open()) {
                asking.send(relay.value(), asking.limits.calls_per_link);
            }
        }
        THEN("none is replaced") {
            CHECK(!asking.choice.replaceable_link(chat, asking.time.now()));
        }
    }
}
