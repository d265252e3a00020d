#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "daemon/running_part.h"
#include "engines/target_port.h"
#include "gateway/caller_port.h"
#include "keeper/control_calls.h"
#include "routes/table_reader.h"
#include "task/sender.h"

#include <memory>

namespace kingcupcart::daemon {

/// How the outside is spoken to by the roles of a fleet. The product's own interface needs none of
/// it.
struct outer_ports {
    routes::table_reader read_table = nullptr;
    gateway::caller_port callers;
    engines::target_port targets;
    /// Serves operators, trainers and targets on this address, and passes their calls to the
    /// keeper.
    outcome<std::unique_ptr<running_part>> (*start_control)(
        const endpoint& address, const task::sender<keeper::control_call>& keeper) = nullptr;
};

} // namespace kingcupcart::daemon
