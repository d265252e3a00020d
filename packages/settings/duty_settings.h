#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <cstdint>

namespace kingcupcart::settings {

/// Settings of the duties that the leading keeper carries out at the platform's API.
struct duty_settings {
    /// Address of the platform's API.
    endpoint platform;
    /// Whether the usage of client accounts is counted and reported.
    bool reports_usage = false;
    /// Whether the number of replicas is ordered.
    bool scales_replicas = false;
    /// Calls per second that the platform accepts from all instances together.
    double calls_per_second = 50;
    std::chrono::milliseconds usage_window = std::chrono::seconds(5);
    /// Time after a window's end within which its report is due.
    std::chrono::milliseconds usage_late = std::chrono::seconds(10);
};

} // namespace kingcupcart::settings
