#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "daemon/running_component.h"
#include "engines/target_protocol.h"
#include "gateway/caller_protocol.h"
#include "keeper/control_calls.h"
#include "keeper/platform_protocol.h"
#include "routes/route_table_parser.h"
#include "task/sender.h"

#include <memory>

namespace kingcupcart::daemon {

/// The protocols that the roles of a fleet use with operators, callers and targets. The product's
/// own interface, which the entry role serves, needs none of them.
struct external_protocols {
    routes::route_table_parser parse_route_table = nullptr;
    gateway::caller_protocol callers;
    engines::target_protocol targets;
    /// Calls of the leading keeper to the platform's API.
    keeper::platform_protocol platform;
    /// Starts the server for operators, trainers and targets on `address`; it forwards their calls
    /// to the keeper.
    outcome<std::unique_ptr<running_component>> (*start_control)(
        const endpoint& address, const task::sender<keeper::control_call>& keeper) = nullptr;
};

} // namespace kingcupcart::daemon
