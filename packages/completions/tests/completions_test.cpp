#include "completions/completion_answer.h"
#include "completions/completion_chunk.h"
#include "completions/completion_request.h"
#include "completions/event_parser.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::completions;

namespace {

std::string refusal(const std::string& body, completion_form form = completion_form::text) {
    const auto parsed = value_or_error([&] { return parse_request(body, form); });
    REQUIRE(std::holds_alternative<error>(parsed));
    return std::get<error>(parsed).message;
}

} // namespace

SCENARIO("a completion request is checked before anything is done with it") {
    GIVEN("a good one") {
        const auto parsed = value_or_error([] {
            return parse_request(R"({"model":"m","prompt":"p","stream":true})",
                                 completion_form::text);
        });
        const auto& request = std::get<completion_request>(parsed);
        CHECK(request.model == backend_name("m"));
        CHECK(request.stream);
        THEN("the engine's body always streams, and says where to resume") {
            CHECK(engine_body(request, tokens(0), "").find("resume") == std::string::npos);
            CHECK(engine_body(request, tokens(2), "ab").find(R"({"text":"ab","tokens":2})") !=
                  std::string::npos);
        }
    }
    GIVEN("bad ones") {
        CHECK(refusal("") == "body: is no JSON object");
        CHECK(refusal("[]") == "body: is no JSON object");
        CHECK(refusal(R"({"prompt":"p"})").starts_with("body: 'model'"));
        CHECK(refusal(R"({"model":"m"})").starts_with("body: 'prompt'"));
        CHECK(refusal(R"({"model":"m","prompt":"p","max_tokens":0})")
                  .starts_with("body: 'max_tokens'"));
        CHECK(refusal(R"({"model":"m","prompt":"p","n":2})").starts_with("body: 'n'"));
        CHECK(refusal(R"({"model":"m","messages":[1]})", completion_form::chat)
                  .starts_with("body: 'messages'"));
    }
    GIVEN("two prompts that begin alike") {
        const std::string start(600, 'a');
        const auto parse = [](const std::string& prompt) {
            const std::string body = R"({"model":"m","prompt":")" + prompt + "\"}";
            return std::get<completion_request>(
                value_or_error([&] { return parse_request(body, completion_form::text); }));
        };
        const auto one = parse(start + std::string(300, 'b'));
        const auto other = parse(start + std::string(300, 'c'));
        THEN("their first blocks have the same hashes, and the later ones differ") {
            REQUIRE(one.prefix.size() == 3);
            CHECK(one.prefix[1] == other.prefix[1]);
            CHECK(one.prefix[2] != other.prefix[2]);
        }
    }
}

SCENARIO("a stream of events is cut at any byte and still whole") {
    const std::string stream = "data: one\r\n\r\n: comment\n\ndata: two\ndata: three\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_parser parser;
        auto events = parser.feed(stream.substr(0, cut));
        for (auto& event : parser.feed(stream.substr(cut))) {
            events.push_back(event);
        }
        CHECK(events == std::vector<std::string>{"one", "two\nthree"});
    }
    GIVEN("an event without end") {
        event_parser parser;
        CHECK(parser.feed("data: " + std::string(event_parser::event_limit, 'x')).empty());
        CHECK(parser.is_overfull());
    }
}

SCENARIO("an answer names the versions that produced it") {
    completion_answer answer;
    answer.id = "r1";
    for (const std::uint64_t version : {7, 7, 8}) {
        answer.add({"x", version == 8 ? "stop" : "", weight_version(version)});
    }
    CHECK(answer.text == "xxx");
    CHECK(answer.versions == std::vector<weight_version>{weight_version(7), weight_version(8)});
    CHECK(answer.finish_reason == "stop");
    completion_request request;
    CHECK(print_answer(request, answer).find(R"("weight_versions":[7,8])") != std::string::npos);
    GIVEN("an event that does not name its version") {
        const auto parsed = value_or_error(
            [] { return parse_chunk(R"({"choices":[{"text":"x"}]})", completion_form::text); });
        THEN("it is no chunk") {
            CHECK(std::holds_alternative<error>(parsed));
        }
    }
}
