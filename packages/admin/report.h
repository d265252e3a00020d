#pragma once

#include "task/sender.h"

#include <string>

namespace kingcupcart::admin {

/// What a task says of itself to operators.
struct report {
    /// Name of the part, such as `entry`; the key in the status object.
    std::string part;
    /// A JSON value.
    std::string status;
    /// Scraper's text.
    std::string metrics;
    bool is_ready = false;
};

/// Asks a task for its report.
struct report_request {
    task::sender<report> reply;
};

} // namespace kingcupcart::admin
