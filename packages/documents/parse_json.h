#pragma once

#include "base/outcome.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace kingcupcart::documents {

/// Deepest nesting of arrays and objects in a document. Processing a JSON value recurses for each
/// level, so that a very deep one would exhaust the stack.
constexpr std::size_t max_nesting = 64;

/// Parses a JSON text of any origin. Fails with `invalid_input` if it is malformed, nests deeper
/// than `max_nesting`, or has a number that no type can hold; never throws.
[[nodiscard]] outcome<nlohmann::json> parse_json(std::string_view text);
/// Does the same, but returns the discarded value, which has no type, in place of an error.
[[nodiscard]] nlohmann::json parse_json_or_discard(std::string_view text);

} // namespace kingcupcart::documents
