#include "base/endpoint.h"
#include "base/request_fingerprint.h"
#include "base/stable_hash.h"

#include <doctest/doctest.h>

using namespace kingcupcart;

SCENARIO("an endpoint is parsed from address:port") {
    GIVEN("an IP address and a port") {
        THEN("both are parsed, and formatted as they were given") {
            const auto parsed = value_or_error([] { return parse_endpoint("127.0.0.1:8080"); });
            CHECK(std::get<endpoint>(parsed) == endpoint{"127.0.0.1", 8080});
            CHECK(std::get<endpoint>(parsed).to_string() == "127.0.0.1:8080");
        }
        THEN("an IPv6 address is formatted with its brackets") {
            const auto parsed = value_or_error([] { return parse_endpoint("[::1]:9"); });
            CHECK(std::get<endpoint>(parsed).to_string() == "[::1]:9");
        }
    }
    GIVEN("a text that is not an IP address and a port") {
        for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                                 "127.0.0.1:8x", ":80", ""}) {
            CAPTURE(text);
            THEN("it is rejected as invalid input, and the error quotes the invalid part") {
                const auto parsed = value_or_error([&] { return parse_endpoint(text); });
                REQUIRE(std::holds_alternative<error>(parsed));
                CHECK(std::get<error>(parsed).code == error_code::invalid_input);
                CHECK(std::get<error>(parsed).message.find('\'') != std::string::npos);
            }
        }
    }
}

SCENARIO("a stable hash depends on its input and seed alone") {
    CHECK(stable_hash("kingcupcart") == stable_hash("kingcupcart"));
    CHECK(stable_hash("a") != stable_hash("b"));
    CHECK(stable_hash("a", 1) != stable_hash("a", 2));
}

SCENARIO("a request's fingerprint depends on each of its parts") {
    const request_fingerprint known = make_fingerprint({"POST", "service", "/a", "caller", "body"});
    THEN("the same parts give the same fingerprint, on every machine") {
        CHECK(known == make_fingerprint({"POST", "service", "/a", "caller", "body"}));
        CHECK(known.to_string() == "7b83c94472d554ae3022b733595cde49");
    }
    THEN("another part gives another one") {
        CHECK(known != make_fingerprint({"POST", "service", "/b", "caller", "body"}));
        CHECK(known != make_fingerprint({"POST", "service", "/a", "other", "body"}));
        CHECK(known != make_fingerprint({"POST", "service", "/a", "caller", "bodies"}));
    }
    THEN("a byte that moves to the next part gives another one") {
        CHECK(known != make_fingerprint({"POST", "service", "/", "acaller", "body"}));
        CHECK(known != make_fingerprint({"POST", "service", "/a", "callerbody", ""}));
    }
    THEN("it is read as it was written") {
        CHECK(request_fingerprint::parse(known.to_string()) == known);
        CHECK_FALSE(request_fingerprint::parse("12"));
        CHECK_FALSE(request_fingerprint::parse(std::string(32, 'g')));
        CHECK(request_fingerprint(1, 0xABC).to_string() == "00000000000000010000000000000abc");
    }
}
