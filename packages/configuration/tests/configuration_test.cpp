#include "configuration/deployment.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::configuration;

namespace {

std::variant<deployment, error> parse(const std::string& text) {
    return value_or_error([&] { return deployment::parse(text, "salon.ini"); });
}

const std::string salon = R"([deployment]
name = salon
[class booking]
urgency = short
deadline = 5s
[service provbok]
class = booking
repeatable-methods = GET, HEAD
)";

} // namespace

SCENARIO("a deployment configuration is read strictly") {
    GIVEN("the default") {
        const auto read = parse(deployment::default_text());
        REQUIRE(std::holds_alternative<deployment>(read));
        CHECK(std::get<deployment>(read).class_list().size() == 4);
        CHECK(std::get<deployment>(read).find_model(backend_name("any")) != nullptr);
    }
    GIVEN("a closed one") {
        const auto read = parse(salon);
        REQUIRE(std::holds_alternative<deployment>(read));
        const auto& known = std::get<deployment>(read);
        CHECK(known.find_model(backend_name("any")) == nullptr);
        REQUIRE(known.find_service(backend_name("provbok")) != nullptr);
        CHECK(known.find_service(backend_name("provbok"))->repeatable_methods.size() == 2);
    }
    GIVEN("a class that is not there") {
        const auto read = parse(salon + "[model m]\nclass = query\n");
        CHECK(std::get<error>(read).message ==
              "salon.ini:10: [model m] class: 'query' has no group [class query]");
    }
    GIVEN("a class without urgency") {
        const auto read = parse(salon + "[class x]\n");
        CHECK(std::get<error>(read).message ==
              "salon.ini:9: [class x] urgency: '' is not one of short, long");
    }
}
