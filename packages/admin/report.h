#pragma once

#include "task/sender.h"

#include <string>

namespace kingcupcart::admin {

/// The status of a task, as reported to operators.
struct report {
    /// Name of the component, such as `entry`; its key in the status object.
    std::string component;
    /// The component's value in the status object, as JSON text.
    std::string status;
    /// Metrics in the Prometheus text format.
    std::string metrics;
    bool is_ready = false;
};

/// Requests a task's report.
struct report_request {
    task::sender<report> reply;
};

} // namespace kingcupcart::admin
