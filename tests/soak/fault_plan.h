#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcupcart::soak {

/// One thing that is done to the fleet, and undone a while later.
struct fault {
    enum class kind {
        kill_gateway,
        stop_gateway,
        pause_gateway,
        kill_store,
        empty_store,
        stop_store,
        pause_store,
        kill_keeper,
        empty_keeper,
        stop_keeper,
        pause_keeper,
        /// All keepers and stores at once, disks kept.
        kill_all,
        delay_replica,
        deafen_replica,
        mute_replica,
        reset_replica
    };
    kind what = kind::kill_gateway;
    /// Which machine or replica; counted modulo their number.
    std::size_t number = 0;
    duration at{};
    duration lasts{};
};

/// The faults of a seed, in order. Faults of gateways, stores, keepers and replicas overlap; at
/// most one store and one keeper are lost or catching up at once, but for `kill_all`, the last one.
[[nodiscard]] std::vector<fault> plan_faults(std::uint64_t seed, duration length);

[[nodiscard]] std::string describe(const fault& one);

} // namespace kingcupcart::soak
