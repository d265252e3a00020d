#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/units.h"

#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::completions {

/// The two request forms of the OpenAI-style API.
enum class completion_form { text, chat };

/// A caller's completion request, checked.
struct completion_request {
    completion_form form = completion_form::text;
    backend_name model;
    /// The caller wants server-sent events rather than one body.
    bool stream = false;
    /// The caller's JSON as it came.
    std::string original;
    /// Chained hashes of the prompt's blocks, for routing to a cached prefix.
    std::vector<prefix_hash> prefix;
};

/// Fails with `invalid_input`, naming the JSON member.
[[nodiscard]] outcome<completion_request> parse_request(std::string_view body,
                                                        completion_form form);

/// The body for an engine: always a stream; with `resume_after` tokens, the engine continues after
/// `resume_text`.
[[nodiscard]] std::string engine_body(const completion_request& request, tokens resume_after,
                                      const std::string& resume_text);

} // namespace kingcupcart::completions
