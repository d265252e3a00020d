#include "accounts/account_table.h"
#include "accounts/revocation_limits.h"

#include <doctest/doctest.h>

#include <string>

using namespace kingcupcart;
using namespace kingcupcart::accounts;

namespace {

account make_account(const std::string& name, const std::vector<std::string>& keys,
                     std::optional<int> priority = std::nullopt) {
    account created;
    created.name = account_name(name);
    for (const std::string& key : keys) {
        created.keys.emplace_back(key);
    }
    created.priority = priority;
    return created;
}

account_table build(const std::vector<account>& accounts) {
    auto built = account_table::build(accounts);
    REQUIRE(std::holds_alternative<account_table>(built));
    return std::get<account_table>(std::move(built));
}

account_problem problem_of(const std::vector<account>& accounts) {
    const auto built = account_table::build(accounts);
    REQUIRE(std::holds_alternative<account_problem>(built));
    return std::get<account_problem>(built);
}

credentials with_key(const std::string& key) {
    return {credentials_form::key, api_key(key)};
}

} // namespace

// Guards against requests that run without an account, or for another one.
SCENARIO("a key gives access to its account") {
    GIVEN("two accounts, one of them with two keys") {
        const account_table table = build({make_account("north", {"n1", "n2"}, 3),
                                           make_account("east", {"e1"}), make_account("new", {})});
        WHEN("a request states a key") {
            THEN("it belongs to the account of the key") {
                for (const char* key : {"n1", "n2"}) {
                    const authorization decision =
                        table.authorize(key_rule::required, with_key(key));
                    CHECK(decision.result == access::granted);
                    CHECK(decision.account == account_name("north"));
                }
                CHECK(table.authorize(key_rule::optional, with_key("e1")).account ==
                      account_name("east"));
            }
        }
        WHEN("a request states no key of an account") {
            const std::vector<std::pair<credentials, denial_reason>> cases = {
                {{}, denial_reason::no_key},
                {with_key("n"), denial_reason::unknown_key},
                {with_key("n1 "), denial_reason::unknown_key},
                {with_key(""), denial_reason::unknown_key},
                {{credentials_form::repeated, api_key("n1")}, denial_reason::repeated_credentials},
                {{credentials_form::other_scheme, api_key("n1")}, denial_reason::other_scheme}};
            THEN("it is denied where a key is required, and anonymous elsewhere") {
                for (const auto& [stated, reason] : cases) {
                    CAPTURE(to_string(reason));
                    const authorization decision = table.authorize(key_rule::required, stated);
                    CHECK(decision.result == access::denied);
                    CHECK(decision.reason == reason);
                    CHECK(decision.account.value().empty());
                    CHECK(table.authorize(key_rule::optional, stated).result == access::anonymous);
                }
            }
        }
        THEN("an account's priority takes precedence over that of the route") {
            CHECK(table.priority_of(account_name("north"), 1) == 3);
            CHECK(table.priority_of(account_name("east"), 1) == 1);
            CHECK(table.priority_of(account_name(""), 1) == 1);
        }
    }
    GIVEN("no accounts") {
        const account_table table;
        THEN("every request is permitted, also with credentials") {
            CHECK(table.authorize(key_rule::required, {}).result == access::anonymous);
            CHECK(table.authorize(key_rule::required, with_key("n1")).result == access::anonymous);
        }
    }
}

// Guards against a key that gives access to an account of chance.
SCENARIO("a list of accounts is checked") {
    const std::string longest(account_table::max_key_bytes, 'k');
    WHEN("a name is missing or used twice") {
        CHECK(problem_of({make_account("", {"a"})}).kind == account_problem_kind::empty_name);
        CHECK(problem_of({make_account("a\r\nX: b", {})}).kind ==
              account_problem_kind::unprintable_name);
        const account_problem repeated =
            problem_of({make_account("a", {}), make_account("b", {}), make_account("a", {})});
        CHECK(repeated.kind == account_problem_kind::repeated_name);
        CHECK(repeated.account == 2);
        CHECK(repeated.earlier_account == 0);
    }
    WHEN("a key is empty or over-long") {
        const account_problem empty =
            problem_of({make_account("a", {longest}), make_account("b", {"x", ""})});
        CHECK(empty.kind == account_problem_kind::empty_key);
        CHECK(empty.account == 1);
        CHECK(empty.key == 1);
        CHECK(problem_of({make_account("a", {longest + "k"})}).kind ==
              account_problem_kind::long_key);
    }
    WHEN("a key is listed twice") {
        const account_problem shared =
            problem_of({make_account("a", {"x"}), make_account("b", {"y", "x"})});
        CHECK(shared.kind == account_problem_kind::repeated_key);
        CHECK(shared.account == 1);
        CHECK(shared.key == 1);
        CHECK(shared.earlier_account == 0);
        CHECK(problem_of({make_account("a", {"x", "x"})}).earlier_account == 0);
    }
}

// Guards against revoked keys that are still accepted by an instance without contact to a keeper.
SCENARIO("keys are used for a bounded time without contact") {
    using namespace std::chrono_literals;
    revocation_limits limits;
    limits.revoke_time = 5s;
    WHEN("the deployment prefers service over revocation") {
        CHECK(limits.permits_keys(1h));
    }
    WHEN("it prefers revocation") {
        limits.is_fail_closed = true;
        CHECK(limits.permits_keys(4999ms));
        CHECK_FALSE(limits.permits_keys(5s));
    }
}
