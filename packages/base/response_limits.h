#pragma once

#include <cstddef>

namespace kingcupcart {

/// Limits on HTTP responses, apart from the length of one body. A response beyond one of them
/// counts as broken, so that a faulty server can neither exhaust the memory nor hold the
/// connection.
struct response_limits {
    /// Status line and header fields of the final response, in bytes.
    std::size_t head_bytes = 64UL * 1024;
    /// All interim (1xx) responses to one request together, in bytes.
    std::size_t interim_bytes = 16UL * 1024;
    /// All chunk extensions of one response together, in bytes. The size line of a chunk, and the
    /// trailer section, each have the same limit.
    std::size_t chunk_extension_bytes = 16UL * 1024;
    /// Memory that all responses in progress of a task may use together, in bytes.
    std::size_t budget_bytes = 32UL * 1024 * 1024;
};

} // namespace kingcupcart
