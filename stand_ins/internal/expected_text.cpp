#include "stand_ins/expected_text.h"

#include "base/stable_hash.h"

namespace kingcupcart::stand_ins {

std::string expected_token(const std::string& prompt, std::int64_t position) {
    constexpr std::uint64_t vocabulary_size = 100000;
    const auto seed = static_cast<std::uint64_t>(position);
    return "w" + std::to_string(stable_hash(prompt, seed) % vocabulary_size) + " ";
}

std::string expected_text(const std::string& prompt, std::int64_t tokens) {
    std::string text;
    for (std::int64_t position = 0; position < tokens; ++position) {
        text += expected_token(prompt, position);
    }
    return text;
}

} // namespace kingcupcart::stand_ins
