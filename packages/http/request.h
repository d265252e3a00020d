#pragma once

#include "base/header_field.h"

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
    /// Whether the client may send the request again, on a new connection, if the server closed
    /// the idle connection that was used first.
    bool repeatable = true;
};

} // namespace kingcupcart::http
