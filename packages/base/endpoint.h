#pragma once

#include "base/outcome.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace kingcupcart {

/// An IP address, as text, and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;

    /// Formats as `address:port`, with brackets around an IPv6 address.
    [[nodiscard]] std::string to_string() const;
};

/// Parses `address:port`, with or without brackets around the address. Fails with `invalid_input`
/// if the address is not an IP address, such as a host name, or the port is not in 0 to 65535.
[[nodiscard]] outcome<endpoint> parse_endpoint(std::string_view text);

} // namespace kingcupcart
