#pragma once

#include "admin/configuration_order.h"
#include "admin/report.h"
#include "group/stop_started.h"
#include "keeper/control_calls.h"
#include "settings/seeds_changed.h"

#include <variant>

namespace kingcupcart::keeper {

/// Messages that other tasks send to the keeper task.
using keeper_message =
    std::variant<admin::configuration_order, admin::configuration_request, admin::report_request,
                 control_call, settings::seeds_changed, group::stop_started>;

} // namespace kingcupcart::keeper
