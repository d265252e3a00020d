#pragma once

#include "base/clock.h"
#include "base/header_field.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kingcupcart::http {

/// An HTTP request that a client sends.
struct request {
    std::string method = "GET";
    /// `http://address:port/path`
    std::string url;
    std::vector<header_field> headers;
    std::string content_type;
    std::string body;
    /// A request that is not repeatable is sent on a new connection: the server might close an idle
    /// one at the same moment, and its outcome would be unknown.
    bool repeatable = true;
    /// A response with a longer body ends as broken, so that a server that sends without end does
    /// not exhaust the memory; 0 for no limit.
    std::size_t max_response_bytes = 16UL * 1024 * 1024;
    /// Replaces the client's `open_timeout` for this request, unless it is zero.
    duration open_timeout{};
};

} // namespace kingcupcart::http
