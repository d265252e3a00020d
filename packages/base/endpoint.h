#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupcart {

/// A TCP address by IP number.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

    /// `address:port`, with brackets around an IPv6 address.
    [[nodiscard]] std::string to_string() const;
};

/// Parses `address:port`; fails with `invalid_input` where the address is no IP number.
[[nodiscard]] outcome<endpoint> parse_endpoint(std::string_view text);

} // namespace kingcupcart
