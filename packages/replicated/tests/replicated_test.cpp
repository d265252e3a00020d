#include "replicated/replicated_state.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::replicated;
using namespace std::chrono_literals;

namespace {

accept_configuration order(const char* id, std::uint64_t base, const char* text,
                           wall_seconds at = 0s) {
    return {id, configuration_version(base), text, at};
}

configuration_result apply(replicated_state& state, const accept_configuration& request) {
    return std::get<configuration_result>(state.apply(request));
}

} // namespace

SCENARIO("two operators replace the same configuration version at once") {
    replicated_state state;
    const auto first = apply(state, order("a", 0, "one"));
    const auto second = apply(state, order("b", 0, "two"));
    CHECK(first.is_accepted);
    THEN("one order is accepted, and the other is rejected with the accepted version") {
        CHECK_FALSE(second.is_accepted);
        CHECK(second.version == configuration_version(1));
        CHECK(state.text() == "one");
    }
    GIVEN("a resend of an order whose response was lost") {
        apply(state, order("c", 1, "three"));
        THEN("the order has no second effect, and gets the first response again") {
            const auto again = apply(state, order("a", 0, "one"));
            CHECK(again.is_accepted);
            CHECK(again.version == configuration_version(1));
            CHECK(state.text() == "three");
            CHECK_FALSE(apply(state, order("b", 0, "two")).is_accepted);
        }
    }
    GIVEN("a snapshot") {
        replicated_state restored;
        restored.load(state.save());
        THEN("it contains the orders too") {
            CHECK(restored.version() == state.version());
            CHECK_FALSE(apply(restored, order("b", 1, "two")).is_accepted);
        }
    }
}

SCENARIO("an idempotency key gets one owner") {
    replicated_state state;
    const auto claim = [&](const char* owner, wall_seconds at) {
        return std::get<claim_result>(state.apply(
            claim_key{idempotency_key("k"), instance_id(owner), incarnation_id(1), at}));
    };
    CHECK(claim("a", 0s).owner == instance_id("a"));
    CHECK(claim("b", 1h).owner == instance_id("a"));
    THEN("another instance can claim it once the first claim has expired") {
        CHECK(claim("b", 25h).owner == instance_id("b"));
    }
}
