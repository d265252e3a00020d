#pragma once

#include "base/clock.h"
#include "base/outcome.h"
#include "http/request.h"

#include <string>

namespace kingcupcart::command {

/// A complete HTTP response.
struct http_response {
    int status = 0;
    std::string body;
};

/// Sends one HTTP request and blocks until its response is complete, with an event loop of its own.
/// Fails if no complete response arrives within `max_wait`.
[[nodiscard]] outcome<http_response> call(const http::request& request, duration max_wait);

} // namespace kingcupcart::command
