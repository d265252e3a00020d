#pragma once

#include "admin/report.h"
#include "base/clock.h"
#include "settings/seeds_changed.h"

#include <functional>
#include <variant>

namespace kingcupcart::gateway {

/// The process will stop at `deadline`: readiness is withdrawn and each response closes its
/// connection, but requests are still served, if they are expected to end before.
struct stop_announced {
    time_point deadline{};
};

/// From now on new requests are refused. Each open one gets its final response by `deadline`. The
/// gateway calls `on_drained` when none is open any more.
struct stop_started {
    time_point deadline{};
    std::function<void()> on_drained;
};

/// Messages that other tasks send to the gateway task.
using gateway_message =
    std::variant<admin::report_request, stop_announced, stop_started, settings::seeds_changed>;

} // namespace kingcupcart::gateway
