#pragma once

#include "base/ids.h"
#include "task/sender.h"

#include <string>

namespace kingcupcart::admin {

/// The result of an operator's request about the configuration.
struct order_result {
    /// HTTP status of the response to the operator.
    int status = 0;
    /// JSON body.
    std::string body;
};

/// An operator's request to change the configuration.
struct configuration_order {
    /// Identifies the change; retries of the same change use the same identifier.
    std::string order_id;
    /// The version that the change is based on.
    configuration_version base;
    /// The whole new configuration.
    std::string text;
    task::sender<order_result> reply;
};

/// Requests the accepted configuration.
struct configuration_request {
    task::sender<order_result> reply;
};

} // namespace kingcupcart::admin
