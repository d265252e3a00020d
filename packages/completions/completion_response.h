#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "completions/completion_chunk.h"
#include "completions/completion_request.h"

#include <string>
#include <vector>

namespace kingcupcart::completions {

/// The part of a completion that has been delivered to the caller so far.
struct completion_response {
    /// The `id` member of the response.
    std::string id;
    std::string text;
    /// Empty until the last chunk has been added.
    std::string finish_reason;
    tokens delivered_tokens;
    /// The weight versions that produced the tokens, in order; consecutive duplicates are merged.
    std::vector<weight_version> versions;

    void add(const completion_chunk& chunk);
};

/// Returns the JSON body of a response that isn't streamed.
[[nodiscard]] std::string format_response(const completion_request& request,
                                          const completion_response& response);

/// Returns one chunk as a server-sent event: a `data: …` line followed by a blank line.
[[nodiscard]] std::string format_event(const completion_request& request,
                                       const completion_response& response,
                                       const completion_chunk& chunk);

/// The event that ends a complete stream, and its data.
inline constexpr const char* done_event = "data: [DONE]\n\n";
inline constexpr const char* done_data = "[DONE]";

} // namespace kingcupcart::completions
