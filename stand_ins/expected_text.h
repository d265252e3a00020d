#pragma once

#include <cstdint>
#include <string>

namespace kingcupcart::stand_ins {

/// The token that the stand-in engine produces at a position of its answer to a prompt; the same on
/// every engine, so that a test can tell a whole answer from any other.
[[nodiscard]] std::string expected_token(const std::string& prompt, std::int64_t position);

/// The whole answer.
[[nodiscard]] std::string expected_text(const std::string& prompt, std::int64_t tokens);

} // namespace kingcupcart::stand_ins
