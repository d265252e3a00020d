#include "keeper/internal/store_registry.h"

#include "base/manual_clock.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;
using namespace std::chrono_literals;

namespace {

/// Longer than the stores wait for each other at the first start.
constexpr duration long_wait = 10s;

instance_id store_name(std::size_t number) {
    return instance_id("store-" + std::to_string(number));
}

endpoint store_address(std::size_t number) {
    return endpoint{"10.0.0." + std::to_string(number), 7300};
}

/// The registry of a keeper under a manual clock.
struct registry_fixture {
    explicit registry_fixture(std::size_t tolerated_losses) : subject(tolerated_losses) {}

    void connect(std::size_t number) {
        wire::hello hello;
        hello.instance = store_name(number);
        hello.role = wire::instance_role::store;
        hello.address = store_address(number);
        this->subject.connected(hello);
        this->subject.registered(hello.instance, {std::uint64_t{number}, true}, this->time.now());
    }
    [[nodiscard]] std::size_t initial_member_count() const {
        return this->subject.choose_initial_members(this->time.now()).size();
    }

    manual_clock time;
    store_registry subject;
};

} // namespace

// Guards against accepted jobs that one lost disk takes away: a store that was alone at the first
// start formed a group of its own.
SCENARIO("stores form a group once enough of them hold each job") {
    std::size_t tolerated_losses = 0;
    SUBCASE("no loss is to be borne") {
        tolerated_losses = 0;
    }
    SUBCASE("one loss is to be borne") {
        tolerated_losses = 1;
    }
    SUBCASE("two losses are to be borne") {
        tolerated_losses = 2;
    }
    registry_fixture registry(tolerated_losses);
    // As many stores as may be lost must not hold the only copies.
    for (std::size_t i = 1; i <= tolerated_losses; ++i) {
        registry.connect(i);
    }
    registry.time.advance(long_wait);
    CHECK(registry.initial_member_count() == 0);
    // The others may be the losses that are to be borne.
    registry.connect(tolerated_losses + 1);
    registry.time.advance(long_wait);
    CHECK(registry.initial_member_count() == tolerated_losses + 1);
}

SCENARIO("stores that all register form a group at once") {
    registry_fixture registry(2);
    for (std::size_t i = 1; i <= 6; ++i) {
        CHECK(registry.initial_member_count() == (i == 6 ? 5 : 0));
        registry.connect(i);
    }
    CHECK(registry.initial_member_count() == 5);
}
