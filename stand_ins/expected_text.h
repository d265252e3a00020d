#pragma once

#include <cstdint>
#include <string>

namespace kingcupcart::stand_ins {

/// The token that the stand-in engine generates at a position of its response to a prompt. All
/// engines generate the same token, so that a test can check a response for missing, repeated or
/// foreign tokens, even if another engine resumed it.
[[nodiscard]] std::string expected_token(const std::string& prompt, std::int64_t position);

/// The complete response of `tokens` tokens.
[[nodiscard]] std::string expected_text(const std::string& prompt, std::int64_t tokens);

} // namespace kingcupcart::stand_ins
