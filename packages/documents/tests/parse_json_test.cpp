#include "documents/parse_json.h"

#include <doctest/doctest.h>

#include <string>

using namespace kingcupcart;
using namespace kingcupcart::documents;

namespace {

std::string error_of(const std::string& text) {
    const auto result = value_or_error([&] { return parse_json(text); });
    const auto* problem = std::get_if<error>(&result);
    return problem == nullptr ? "" : problem->message;
}

std::string nested(std::size_t depth, const std::string& open, const std::string& close) {
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

} // namespace

SCENARIO("documents of any origin are parsed within bounds") {
    GIVEN("a well-formed document") {
        const auto result = value_or_error([] { return parse_json(R"({"a":[1,"b",null]})"); });
        CHECK(std::get<nlohmann::json>(result)["a"].size() == 3);
    }
    GIVEN("nesting") {
        CHECK(error_of(nested(max_nesting, "[", "]")).empty());
        CHECK(error_of(nested(max_nesting + 1, "[", "]")).find("nested") != std::string::npos);
        CHECK(error_of(nested(max_nesting, R"({"a":)", "}")).empty());
        CHECK(error_of(nested(1000000, R"({"a":)", "}")).find("nested") != std::string::npos);
        CHECK(error_of(std::string(1000000, '[')).find("nested") != std::string::npos);
    }
    GIVEN("text that is no JSON") {
        for (const std::string& text :
             {std::string(), std::string("{"), std::string("{} {}"), std::string("[1e400]"),
              std::string("\"\xff\""), std::string("\0", 1), std::string("nul")}) {
            CAPTURE(text);
            CHECK(error_of(text).find("malformed JSON") != std::string::npos);
        }
    }
}
