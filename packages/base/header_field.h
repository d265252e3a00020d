#pragma once

#include <string>

namespace kingcupcart {

/// One header field of a request or answer, as it passes through.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

} // namespace kingcupcart
