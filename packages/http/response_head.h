#pragma once

#include "base/header_field.h"

#include <string>
#include <vector>

namespace kingcupcart::http {

/// Status and headers of an HTTP response.
struct response_head {
    int status = 0;
    std::string content_type;
    std::vector<header_field> headers;
};

} // namespace kingcupcart::http
