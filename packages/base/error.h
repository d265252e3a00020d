#pragma once

#include <string>

namespace kingcupcart {

/// What went wrong, in classes that a caller of a function can act on.
enum class error_code { invalid_input, not_found, conflict, unavailable, input_output, internal };

/// The error value that travels with a failed `outcome`.
struct error {
    error_code code = error_code::internal;
    /// One sentence for a person; names file, key and line where there are such.
    std::string message;
};

} // namespace kingcupcart
