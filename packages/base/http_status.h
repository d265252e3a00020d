#pragma once

namespace kingcupcart {

constexpr int first_http_status = 100;
constexpr int last_http_status = 599;

/// Whether the code is the status of a response (RFC 9110, section 15). What carries any other code
/// is no response.
constexpr bool is_http_status(int code) {
    return code >= first_http_status && code <= last_http_status;
}

} // namespace kingcupcart
