#pragma once

#include "base/ids.h"
#include "task/sender.h"

#include <string>

namespace kingcupcart::admin {

/// What became of an operator's order.
struct order_result {
    /// HTTP status for the operator.
    int status = 0;
    /// JSON body.
    std::string body;
};

/// An operator's change of the configuration.
struct configuration_order {
    /// The same for each resend of the same order.
    std::string order_id;
    /// The version that the change builds on.
    configuration_version base;
    std::string text;
    task::sender<order_result> reply;
};

/// Asks for the accepted configuration.
struct configuration_request {
    task::sender<order_result> reply;
};

} // namespace kingcupcart::admin
