#pragma once

#include "base/clock.h"
#include "base/outcome.h"
#include "http/request.h"

#include <string>

namespace kingcupcart::command {

/// A whole answer.
struct http_answer {
    int status = 0;
    std::string body;
};

/// Makes one HTTP call and waits for its answer on a loop of its own.
[[nodiscard]] outcome<http_answer> call(const http::request& wanted, duration max_wait);

} // namespace kingcupcart::command
