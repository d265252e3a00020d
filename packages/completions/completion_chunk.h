#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "completions/completion_request.h"

#include <string>
#include <string_view>

namespace kingcupcart::completions {

/// One event of an engine's stream: one token's text.
struct completion_chunk {
    std::string text;
    /// Empty but for the last chunk.
    std::string finish_reason;
    /// The weights that produced this token.
    weight_version version;
};

/// Fails with `invalid_input` where the event is not a chunk that names its weight version.
[[nodiscard]] outcome<completion_chunk> parse_chunk(std::string_view data, completion_form form);

} // namespace kingcupcart::completions
