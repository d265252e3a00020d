#include "routes/route_table.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::routes;
using namespace std::chrono_literals;

namespace {

route make_route(const std::string& name, const std::string& prefix) {
    route made;
    made.name = route_name(name);
    made.host = "shop";
    made.path_prefix = prefix;
    made.timeout = 1s;
    made.shares = {{backend_name("booking"), 1}};
    return made;
}

bool is_valid(const route_table& table) {
    return std::holds_alternative<std::monostate>(value_or_error([&] { return table.check(); }));
}

} // namespace

SCENARIO("a table says where a request goes") {
    GIVEN("two routes of one host, one inside the other") {
        route_table table;
        table.services = {{backend_name("booking"), 10, {}}};
        table.routes = {make_route("outer", "/a/"), make_route("inner", "/a/b/")};
        THEN("the longest prefix wins") {
            CHECK(is_valid(table));
            CHECK(table.find("shop", "/a/b/c")->name == route_name("inner"));
            CHECK(table.find("shop", "/a/bc")->name == route_name("outer"));
            CHECK(table.find("shop", "/x") == nullptr);
            CHECK(table.find("other", "/a/x") == nullptr);
        }
        WHEN("a route has a fault") {
            THEN("the table is refused") {
                SUBCASE("an unknown service") {
                    table.routes[0].shares[0].service = backend_name("none");
                }
                SUBCASE("the same place twice") {
                    table.routes[1].path_prefix = "/a/";
                }
                SUBCASE("no weight") {
                    table.routes[1].shares[0].weight = 0;
                }
                SUBCASE("no shares") {
                    table.routes[1].shares.clear();
                }
                SUBCASE("no timeout") {
                    table.routes[0].timeout = 0s;
                }
                CHECK_FALSE(is_valid(table));
            }
        }
    }
}
