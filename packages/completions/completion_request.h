#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/units.h"

#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::completions {

/// The request formats of the OpenAI-compatible API: `/v1/completions` and `/v1/chat/completions`.
enum class completion_form { text, chat };

/// A validated completion request of a caller.
struct completion_request {
    completion_form form = completion_form::text;
    backend_name model;
    /// The caller requests server-sent events instead of a single JSON body.
    bool stream = false;
    /// The caller's JSON body, unmodified.
    std::string original_body;
    /// Chained hashes of the prompt's leading blocks: one per prefix of complete blocks, shortest
    /// first. Used to route the request to an engine that has a prefix cached.
    std::vector<prefix_hash> prefix;
};

/// Validates a request body. Fails with `invalid_input`; the message names the JSON member.
[[nodiscard]] outcome<completion_request> parse_request(std::string_view body,
                                                        completion_form form);

/// Returns the body to send to an engine. It always requests a stream. If `resume_after` is above
/// zero, the engine continues after that many tokens, whose text is `resume_text`.
[[nodiscard]] std::string engine_request_body(const completion_request& request,
                                              tokens resume_after, const std::string& resume_text);

} // namespace kingcupcart::completions
