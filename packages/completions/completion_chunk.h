#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "completions/completion_request.h"

#include <string>
#include <string_view>

namespace kingcupcart::completions {

/// One event of an engine's stream; it carries the text of one token.
struct completion_chunk {
    std::string text;
    /// Empty except in the last chunk.
    std::string finish_reason;
    /// The version of the weights that produced this token.
    weight_version version;
};

/// Parses an event's data. Fails with `invalid_input` if it isn't a valid chunk or has no weight
/// version.
[[nodiscard]] outcome<completion_chunk> parse_chunk(std::string_view data, completion_form form);

} // namespace kingcupcart::completions
