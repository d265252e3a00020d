#include "accounts/key_index.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::accounts;

// Guards against a key that gives access to another key's account, or to none, where keys share
// slots, lengths or beginnings.
SCENARIO("each key leads to its own account") {
    GIVEN("an index without keys") {
        THEN("nothing is found, with room or without") {
            CHECK_FALSE(key_index().find(api_key("a")));
            CHECK_FALSE(key_index(0, 0).find(api_key("a")));
            CHECK_FALSE(key_index(0, 0).find(api_key("")));
        }
    }
    GIVEN("many keys, some of them the beginnings of others, of all lengths") {
        std::vector<api_key> keys;
        for (std::size_t length = 1; length <= key_index::max_key_bytes; ++length) {
            keys.emplace_back(std::string(length, 'k'));
        }
        for (int i = 0; i < 5000; ++i) {
            keys.emplace_back("key-" + std::to_string(i));
        }
        keys.emplace_back(std::string("with\0zero", 9));
        std::size_t bytes = 0;
        for (const api_key& key : keys) {
            bytes += key.value().size();
        }
        key_index index(keys.size(), bytes);
        for (std::uint32_t i = 0; i < keys.size(); ++i) {
            index.add(keys[i], i);
        }
        THEN("each one is found, and no other") {
            CHECK(index.size() == keys.size());
            for (std::uint32_t i = 0; i < keys.size(); ++i) {
                CAPTURE(i);
                REQUIRE(index.find(keys[i]) == std::optional(i));
            }
            CHECK_FALSE(index.find(api_key("")));
            CHECK_FALSE(index.find(api_key("with")));
            CHECK_FALSE(index.find(api_key("key-5000")));
            CHECK_FALSE(index.find(api_key(std::string(key_index::max_key_bytes + 1, 'k'))));
        }
    }
}
