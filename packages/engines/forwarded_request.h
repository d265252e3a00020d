#pragma once

#include "base/clock.h"
#include "base/header_field.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kingcupcart::engines {

/// A caller's request on its way to a target.
struct forwarded_request {
    std::string method;
    /// Path with its query, as it came.
    std::string path;
    /// As they came.
    std::vector<header_field> headers;
    std::string body;
    bool is_repeatable = false;
    /// What is left of the caller's patience.
    duration time_left{};
    /// A stream goes on after this event; 0 for one from the start.
    std::size_t resume_after = 0;
};

} // namespace kingcupcart::engines
