#pragma once

#include "admin/configuration_order.h"
#include "admin/report.h"
#include "task/sender.h"

#include <vector>

namespace kingcupcart::admin {

/// The tasks that the admin server sends requests to.
struct admin_sources {
    std::vector<task::sender<report_request>> reports;
    /// `orders` and `configurations` reject every message on an instance without a keeper.
    task::sender<configuration_order> orders;
    task::sender<configuration_request> configurations;
};

} // namespace kingcupcart::admin
