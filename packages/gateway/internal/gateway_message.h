#pragma once

#include "admin/report.h"
#include "settings/seeds_changed.h"

#include <functional>
#include <variant>

namespace kingcupcart::gateway {

struct stop_announced {};

struct stop_started {
    std::function<void()> drained;
};

/// What the gateway task is told by other tasks.
using gateway_message =
    std::variant<admin::report_request, stop_announced, stop_started, settings::seeds_changed>;

} // namespace kingcupcart::gateway
