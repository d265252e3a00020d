#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::relays {

/// Parameters of the choice of relays.
struct relay_limits {
    /// Links to relays that an instance has at a time.
    std::size_t max_links = 4;
    /// Links that are opened for a backend before any of them is loaded.
    std::size_t first_links = 2;
    /// A further link is opened once each usable one carries so many calls.
    std::size_t calls_per_link = 8;
    /// Calls in progress by which a relay at the next farther distance has to be less loaded.
    std::size_t calls_per_distance = 4;
    /// Keepers are asked for others if fewer relays can be used.
    std::size_t scarce_relays = 3;
    /// A relay that has refused a call of a backend gets none of this backend for so long. Doubles
    /// with each further refusal until it takes one.
    duration refusal_pause = std::chrono::milliseconds(250);
    duration longest_refusal_pause = std::chrono::seconds(8);
    /// A relay whose link could not be opened, or was lost, is not dialled for so long.
    duration lost_link_pause = std::chrono::seconds(3);
    /// A link without calls is closed after this time.
    duration max_idle = std::chrono::seconds(10);
};

} // namespace kingcupcart::relays
