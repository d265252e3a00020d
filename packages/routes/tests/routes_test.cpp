#include "routes/route_table.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::routes;
using namespace std::chrono_literals;

namespace {

route make_route(const std::string& name, const std::string& prefix) {
    route created;
    created.name = route_name(name);
    created.host = "shop";
    created.path_prefix = prefix;
    created.timeout = 1s;
    created.shares = {{backend_name("booking"), 1}};
    return created;
}

bool is_valid(const route_table& table) {
    return std::holds_alternative<std::monostate>(value_or_error([&] { return table.check(); }));
}

} // namespace

SCENARIO("a route table selects the route of a request") {
    GIVEN("two routes of one host with nested path prefixes") {
        route_table table;
        table.services = {{backend_name("booking"), 10, {}}};
        table.routes = {make_route("outer", "/a/"), make_route("inner", "/a/b/")};
        THEN("the longest matching prefix selects the route") {
            CHECK(is_valid(table));
            CHECK(table.find("shop", "/a/b/c")->name == route_name("inner"));
            CHECK(table.find("shop", "/a/bc")->name == route_name("outer"));
            CHECK(table.find("shop", "/x") == nullptr);
            CHECK(table.find("other", "/a/x") == nullptr);
        }
        WHEN("a route is invalid") {
            THEN("the check of the table fails") {
                SUBCASE("its service is unknown") {
                    table.routes[0].shares[0].service = backend_name("none");
                }
                SUBCASE("two routes have the same host and prefix") {
                    table.routes[1].path_prefix = "/a/";
                }
                SUBCASE("its only weight is 0") {
                    table.routes[1].shares[0].weight = 0;
                }
                SUBCASE("it has no services") {
                    table.routes[1].shares.clear();
                }
                SUBCASE("its timeout is 0") {
                    table.routes[0].timeout = 0s;
                }
                CHECK_FALSE(is_valid(table));
            }
        }
    }
}
