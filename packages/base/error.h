#pragma once

#include <string>

namespace kingcupcart {

/// The kinds of failure that a caller may handle differently.
enum class error_code {
    invalid_input,
    not_found,
    conflict,
    unavailable,
    input_output,
    /// The system refuses an operation on the disk, which may end while the process runs.
    storage_unavailable,
    internal
};

/// The error of a failed `outcome`.
struct error {
    error_code code = error_code::internal;
    /// A sentence for logs and users. Names the file, key and line that it applies to, if any.
    std::string message;
};

} // namespace kingcupcart
