#pragma once

#include "base/header_field.h"

#include <string>
#include <vector>

namespace kingcupcart::http {

/// A request as it is sent to a server.
struct request {
    std::string method = "GET";
    /// `http://address:port/path`
    std::string url;
    std::vector<header_field> headers;
    std::string content_type;
    std::string body;
    /// The request may be sent again on a fresh connection where an idle one had been closed.
    bool repeatable = true;
};

} // namespace kingcupcart::http
