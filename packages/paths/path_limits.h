#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::paths {

/// Parameters of the beliefs about paths to targets.
struct path_limits {
    /// Bounds of the time that a connection may take to open, and the bound before any was
    /// measured. Between regions a connection opens in tens of milliseconds.
    duration shortest_open_timeout = std::chrono::milliseconds(100);
    duration longest_open_timeout = std::chrono::milliseconds(500);
    duration first_open_timeout = std::chrono::milliseconds(300);
    /// The bound is this multiple of the measured time, and a margin for the scheduling of both
    /// sides.
    int open_timeout_multiple = 4;
    duration open_timeout_margin = std::chrono::milliseconds(20);
    /// Lost targets, with none opened since, that show that the instance is cut off from their
    /// backend. One alone may have ended.
    std::size_t lost_targets = 2;
    /// Evidence counts for this long.
    duration max_evidence_age = std::chrono::seconds(10);
    /// Probes of a backend go on for this long after it was last needed.
    duration probe_window = std::chrono::seconds(10);
    /// Time between two probes of a backend: the first, and the upper bound that it doubles up to.
    duration first_probe_delay = std::chrono::milliseconds(100);
    duration longest_probe_delay = std::chrono::milliseconds(600);
};

} // namespace kingcupcart::paths
