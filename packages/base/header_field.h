#pragma once

#include <string>

namespace kingcupcart {

/// A header field of an HTTP request or response, passed on unchanged.
struct header_field {
    std::string name;
    std::string value;

    friend bool operator==(const header_field&, const header_field&) = default;
};

} // namespace kingcupcart
