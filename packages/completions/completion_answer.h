#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "completions/completion_chunk.h"
#include "completions/completion_request.h"

#include <string>
#include <vector>

namespace kingcupcart::completions {

/// What a caller has been given so far.
struct completion_answer {
    std::string id;
    std::string text;
    std::string finish_reason;
    tokens count;
    /// The weight versions that produced the tokens, in order, without repetition.
    std::vector<weight_version> versions;

    void add(const completion_chunk& chunk);
};

/// The JSON body of a whole answer.
[[nodiscard]] std::string print_answer(const completion_request& request,
                                       const completion_answer& answer);

/// The server-sent event of one chunk, `data: …` with its blank line.
[[nodiscard]] std::string print_event(const completion_request& request,
                                      const completion_answer& answer,
                                      const completion_chunk& chunk);

/// The event that ends a whole stream.
inline constexpr const char* done_event = "data: [DONE]\n\n";
inline constexpr const char* done_data = "[DONE]";

} // namespace kingcupcart::completions
