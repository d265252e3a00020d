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

SCENARIO("a deployment configuration is validated when it is parsed") {
    GIVEN("the default configuration") {
        const auto result = parse(deployment::default_text());
        REQUIRE(std::holds_alternative<deployment>(result));
        CHECK(std::get<deployment>(result).class_list().size() == 4);
        CHECK(std::get<deployment>(result).find_model(backend_name("any")) != nullptr);
    }
    GIVEN("a configuration that is not open") {
        const auto result = parse(salon);
        REQUIRE(std::holds_alternative<deployment>(result));
        const auto& salon_deployment = std::get<deployment>(result);
        CHECK(salon_deployment.find_model(backend_name("any")) == nullptr);
        REQUIRE(salon_deployment.find_service(backend_name("provbok")) != nullptr);
        CHECK(salon_deployment.find_service(backend_name("provbok"))->repeatable_methods.size() ==
              2);
    }
    GIVEN("a model whose work class is not defined") {
        const auto result = parse(salon + "[model m]\nclass = query\n");
        CHECK(std::get<error>(result).message ==
              "salon.ini:10: [model m] class: 'query' has no group [class query]");
    }
    GIVEN("a work class without urgency") {
        const auto result = parse(salon + "[class x]\n");
        CHECK(std::get<error>(result).message ==
              "salon.ini:9: [class x] urgency: '' is not one of short, long");
    }
}
