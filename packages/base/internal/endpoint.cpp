#include "base/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace kingcupcart {

namespace {

bool is_ip_address(const std::string& address) {
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, address.c_str(), parsed.data()) == 1 ||
           inet_pton(AF_INET6, address.c_str(), parsed.data()) == 1;
}

std::string without_brackets(std::string_view host) {
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host.remove_prefix(1);
        host.remove_suffix(1);
    }
    return std::string(host);
}

} // namespace

std::string endpoint::to_string() const {
    const bool is_ipv6 = this->address.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + this->address + "]" : this->address;
    return host + ":" + std::to_string(this->port);
}

outcome<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(error_code::invalid_input, "'" + std::string(text) + "' is not address:port");
    }
    endpoint parsed;
    parsed.address = without_brackets(text.substr(0, colon));
    if (!is_ip_address(parsed.address)) {
        return fail(error_code::invalid_input, "'" + parsed.address + "' is not an IP address");
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    if (status != std::errc{} || end != port.data() + port.size() || port.empty()) {
        return fail(error_code::invalid_input,
                    "'" + std::string(port) + "' is not a port from 0 to 65535");
    }
    return parsed;
}

} // namespace kingcupcart
