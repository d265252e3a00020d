#include "http/internal/request_encoder.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr std::string_view scheme = "http://";
constexpr std::array<const char*, 6> skipped_fields = {
    "Connection", "Content-Length", "Expect", "Keep-Alive", "Transfer-Encoding", "Upgrade",
};

bool is_skipped(const std::string& name) {
    return std::any_of(skipped_fields.begin(), skipped_fields.end(),
                       [&](const char* skipped) { return boost::beast::iequals(name, skipped); });
}

bool is_token(std::string_view text) {
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
               (letter >= 'A' && letter <= 'Z') || symbols.find(letter) != std::string_view::npos;
    });
}

bool is_field_value(std::string_view text) {
    return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool is_target(std::string_view text) {
    constexpr unsigned char space = 0x20;
    constexpr unsigned char del = 0x7f;
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char letter) { return letter > space && letter != del; });
}

/// Server and request target of a URL.
outcome<std::pair<endpoint, std::string>> split_url(const std::string& url) {
    if (!url.starts_with(scheme)) {
        return fail(error_code::invalid_input, "'" + url + "' is not a URL of the scheme http");
    }
    const auto end = std::min(url.find_first_of("/?", scheme.size()), url.size());
    BOOST_LEAF_AUTO(
        server, parse_endpoint(std::string_view(url).substr(scheme.size(), end - scheme.size())));
    std::string target = url.substr(end);
    if (!target.starts_with('/')) {
        target.insert(0, "/");
    }
    if (!is_target(target)) {
        return fail(error_code::invalid_input,
                    "the path of '" + url + "' has a space or a control character");
    }
    return std::pair(server, target);
}

bool has_field(const request& outgoing, const char* name) {
    return std::any_of(
        outgoing.headers.begin(), outgoing.headers.end(),
        [&](const header_field& field) { return boost::beast::iequals(field.name, name); });
}

void append_field(std::string& bytes, std::string_view name, std::string_view value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
}

outcome<void> append_fields(std::string& bytes, const request& outgoing) {
    for (const header_field& field : outgoing.headers) {
        const bool is_replaced =
            !outgoing.content_type.empty() && boost::beast::iequals(field.name, "Content-Type");
        if (is_replaced || is_skipped(field.name)) {
            continue;
        }
        if (!is_token(field.name) || !is_field_value(field.value)) {
            return fail(error_code::invalid_input,
                        "the header field '" + field.name + "' has characters that can't be sent");
        }
        append_field(bytes, field.name, field.value);
    }
    return {};
}

} // namespace

outcome<encoded_request> encode(const request& outgoing) {
    BOOST_LEAF_AUTO(location, split_url(outgoing.url));
    const auto& [server, target] = location;
    if (!is_token(outgoing.method)) {
        return fail(error_code::invalid_input, "'" + outgoing.method + "' is not a method");
    }
    std::string bytes = outgoing.method + " " + target + " HTTP/1.1\r\n";
    if (!has_field(outgoing, "Host")) {
        append_field(bytes, "Host", server.to_string());
    }
    BOOST_LEAF_CHECK(append_fields(bytes, outgoing));
    if (!outgoing.content_type.empty()) {
        if (!is_field_value(outgoing.content_type)) {
            return fail(error_code::invalid_input, "the content type can't be sent");
        }
        append_field(bytes, "Content-Type", outgoing.content_type);
    }
    const bool usually_has_body = outgoing.method == "POST" || outgoing.method == "PUT";
    if (!outgoing.body.empty() || usually_has_body) {
        append_field(bytes, "Content-Length", std::to_string(outgoing.body.size()));
    }
    bytes += "\r\n";
    bytes += outgoing.body;
    return encoded_request{server, std::move(bytes)};
}

} // namespace kingcupcart::http
