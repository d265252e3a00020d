#pragma once

#include "base/header_field.h"
#include "requests/outcome_kind.h"

#include <string>
#include <vector>

namespace kingcupcart::requests {

/// A service's whole answer, or the reason why there is none, as kept for resends.
struct recorded_answer {
    outcome_kind outcome = outcome_kind::unknown;
    /// Empty where the request was answered.
    std::string reason;
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
};

} // namespace kingcupcart::requests
