#include "completions/completion_chunk.h"
#include "completions/completion_request.h"
#include "completions/completion_response.h"
#include "completions/event_parser.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::completions;

namespace {

std::string parse_failure(const std::string& body, completion_form form = completion_form::text) {
    const auto parsed = value_or_error([&] { return parse_request(body, form); });
    REQUIRE(std::holds_alternative<error>(parsed));
    return std::get<error>(parsed).message;
}

} // namespace

SCENARIO("a completion request is validated when it is parsed") {
    GIVEN("a valid request") {
        const auto parsed = value_or_error([] {
            return parse_request(R"({"model":"m","prompt":"p","stream":true})",
                                 completion_form::text);
        });
        const auto& request = std::get<completion_request>(parsed);
        CHECK(request.model == backend_name("m"));
        CHECK(request.stream);
        THEN("the body for the engine requests a stream and names the position to resume from") {
            CHECK(engine_request_body(request, tokens(0), "").find("resume") == std::string::npos);
            CHECK(
                engine_request_body(request, tokens(2), "ab").find(R"({"text":"ab","tokens":2})") !=
                std::string::npos);
        }
    }
    GIVEN("invalid requests") {
        CHECK(parse_failure("") == "body: must be a JSON object");
        CHECK(parse_failure("[]") == "body: must be a JSON object");
        CHECK(parse_failure(R"({"prompt":"p"})").starts_with("body: 'model'"));
        CHECK(parse_failure(R"({"model":"m"})").starts_with("body: 'prompt'"));
        CHECK(parse_failure(R"({"model":"m","prompt":"p","max_tokens":0})")
                  .starts_with("body: 'max_tokens'"));
        CHECK(parse_failure(R"({"model":"m","prompt":"p","n":2})").starts_with("body: 'n'"));
        CHECK(parse_failure(R"({"model":"m","messages":[1]})", completion_form::chat)
                  .starts_with("body: 'messages'"));
    }
    GIVEN("two prompts with a common prefix") {
        const std::string start(600, 'a');
        const auto parse = [](const std::string& prompt) {
            const std::string body = R"({"model":"m","prompt":")" + prompt + "\"}";
            return std::get<completion_request>(
                value_or_error([&] { return parse_request(body, completion_form::text); }));
        };
        const auto first = parse(start + std::string(300, 'b'));
        const auto second = parse(start + std::string(300, 'c'));
        THEN("the hashes of the common blocks are equal and the later ones differ") {
            REQUIRE(first.prefix.size() == 3);
            CHECK(first.prefix[1] == second.prefix[1]);
            CHECK(first.prefix[2] != second.prefix[2]);
        }
    }
}

SCENARIO("a very deeply nested request or event is rejected") {
    // Writing the request to an engine recurses for each level.
    constexpr std::size_t depth = 1000000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(parse_failure(R"({"model":"m","prompt":"p","more":)" + nested + "}").empty());
    const auto chunk =
        value_or_error([&] { return parse_chunk(R"({"choices":)" + nested + "}", {}); });
    CHECK(std::holds_alternative<error>(chunk));
}

SCENARIO("an event keeps the line feeds between its data lines") {
    event_parser parser;
    CHECK(parser.feed("data:\ndata: one\n\n") == std::vector<std::string>{"\none"});
    CHECK(parser.feed("data: one\ndata:\ndata: two\n\n") == std::vector<std::string>{"one\n\ntwo"});
    CHECK(parser.feed("data: next\n\n") == std::vector<std::string>{"next"});
}

SCENARIO("the event parser accepts a stream that is split at any byte") {
    const std::string stream = "data: one\r\n\r\n: comment\n\ndata: two\ndata: three\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_parser parser;
        auto events = parser.feed(stream.substr(0, cut));
        for (auto& event : parser.feed(stream.substr(cut))) {
            events.push_back(event);
        }
        CHECK(events == std::vector<std::string>{"one", "two\nthree"});
    }
    GIVEN("an event that exceeds the size limit") {
        event_parser parser;
        CHECK(parser.feed("data: " + std::string(event_parser::max_event_bytes, 'x')).empty());
        CHECK(parser.is_over_limit());
    }
    // Each field takes up far more memory than its two bytes.
    for (const std::string& line : {std::string("a\n"), std::string("a:b\n")}) {
        const std::string name = "Given: an event without end, of lines '" + line + "'";
        SUBCASE(name.c_str()) {
            event_parser parser;
            std::string lines;
            while (lines.size() < event_parser::max_event_bytes) {
                lines += line;
            }
            CHECK(parser.feed(lines).empty());
            CHECK(parser.is_over_limit());
        }
    }
}

SCENARIO("a response lists the weight versions that produced it") {
    completion_response response;
    response.id = "r1";
    for (const std::uint64_t version : {7, 7, 8}) {
        response.add({"x", version == 8 ? "stop" : "", weight_version(version)});
    }
    CHECK(response.text == "xxx");
    CHECK(response.versions == std::vector<weight_version>{weight_version(7), weight_version(8)});
    CHECK(response.finish_reason == "stop");
    completion_request request;
    CHECK(format_response(request, response).find(R"("weight_versions":[7,8])") !=
          std::string::npos);
    GIVEN("an event without a weight version") {
        const auto parsed = value_or_error(
            [] { return parse_chunk(R"({"choices":[{"text":"x"}]})", completion_form::text); });
        THEN("parsing fails") {
            CHECK(std::holds_alternative<error>(parsed));
        }
    }
}
