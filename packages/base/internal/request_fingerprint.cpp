#include "base/request_fingerprint.h"

#include <xxhash.h>

#include <charconv>
#include <system_error>

namespace kingcupcart {

namespace {

constexpr std::size_t word_digits = 16;

void append_hex(std::string& text, std::uint64_t word) {
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4) {
        text.push_back(digits[(word >> shift) & 0xF]);
    }
}

std::optional<std::uint64_t> parse_hex(std::string_view text) {
    std::uint64_t word = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), word, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return word;
}

/// Appends the word in little-endian order, so that every machine hashes the same bytes.
void append_word(std::string& bytes, std::uint64_t word) {
    for (int shift = 0; shift < 64; shift += 8) {
        bytes.push_back(static_cast<char>((word >> shift) & 0xFF));
    }
}

} // namespace

std::string request_fingerprint::to_string() const {
    std::string text;
    text.reserve(2 * word_digits);
    append_hex(text, this->upper);
    append_hex(text, this->lower);
    return text;
}

std::optional<request_fingerprint> request_fingerprint::parse(std::string_view text) {
    if (text.size() != 2 * word_digits) {
        return std::nullopt;
    }
    const auto high = parse_hex(text.substr(0, word_digits));
    const auto low = parse_hex(text.substr(word_digits));
    if (!high || !low) {
        return std::nullopt;
    }
    return request_fingerprint(*high, *low);
}

request_fingerprint make_fingerprint(std::initializer_list<std::string_view> parts) {
    // Each part is hashed in place, since the body may be large.
    std::string words;
    words.reserve(parts.size() * 3 * sizeof(std::uint64_t));
    for (const std::string_view part : parts) {
        const XXH128_hash_t hash = XXH3_128bits(part.data(), part.size());
        append_word(words, part.size());
        append_word(words, hash.high64);
        append_word(words, hash.low64);
    }
    const XXH128_hash_t hash = XXH3_128bits(words.data(), words.size());
    return {hash.high64, hash.low64};
}

} // namespace kingcupcart
