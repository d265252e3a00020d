#pragma once

#include "admin/report.h"
#include "settings/seeds_changed.h"

#include <functional>
#include <variant>

namespace kingcupcart::gateway {

/// The process will stop soon: readiness is withdrawn, requests are still served.
struct stop_announced {};

/// From now on each response closes its connection; the gateway calls `on_drained` when no request
/// is open any more.
struct stop_started {
    std::function<void()> on_drained;
};

/// Messages that other tasks send to the gateway task.
using gateway_message =
    std::variant<admin::report_request, stop_announced, stop_started, settings::seeds_changed>;

} // namespace kingcupcart::gateway
