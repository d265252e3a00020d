#pragma once

#include "base/header_field.h"
#include "requests/outcome_kind.h"

#include <string>
#include <vector>

namespace kingcupcart::requests {

/// A service's complete response, or the reason for its absence; stored for resent requests.
struct recorded_response {
    outcome_kind outcome = outcome_kind::unknown;
    /// Empty if the request was answered.
    std::string reason;
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
};

} // namespace kingcupcart::requests
