#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcupcart::soak {

/// Faults that a plan has on request only.
struct fault_options {
    /// Disks that refuse writes.
    bool has_refused_writes = false;
    /// Replicas that name a limit of the requests that they take. Leaves out the faults of the
    /// replicas' connections, which change when requests arrive.
    bool has_named_limits = false;
    /// Gateways that are cut off from all replicas.
    bool has_cut_gateways = false;
};

/// A fault that is injected into the fleet and removed after a while.
struct fault {
    enum class kind {
        kill_gateway,
        stop_gateway,
        pause_gateway,
        kill_store,
        /// Kills the store and removes its data folder; `empty_keeper` likewise the keeper.
        empty_store,
        stop_store,
        pause_store,
        /// The system refuses all writes to files of the process, its log included;
        /// `refuse_keeper_writes` likewise.
        refuse_store_writes,
        kill_keeper,
        empty_keeper,
        stop_keeper,
        pause_keeper,
        refuse_keeper_writes,
        /// Kills all keepers and stores at once; their data folders stay.
        kill_all,
        delay_replica,
        /// The replica receives no data; connections stay open.
        stall_requests,
        /// No data from the replica arrives; connections stay open.
        stall_responses,
        reset_replica,
        /// The plain service names a limit of the requests that it takes.
        name_limit,
        /// Gateways are cut off from all replicas.
        cut_gateways
    };
    kind fault_kind = kind::kill_gateway;
    /// Index of the instance or replica, taken modulo their count.
    std::size_t index = 0;
    /// Time from the start of the run to the start of the fault.
    duration at{};
    duration active_time{};
};

/// The faults of a seed, in order of time. Faults of gateways, stores, keepers and replicas
/// overlap. At most one store and one keeper are down or catching up at once, except for
/// `kill_all`, which comes last. Without options the plan of a seed is the one of before they were
/// introduced.
[[nodiscard]] std::vector<fault> plan_faults(std::uint64_t seed, duration length,
                                             const fault_options& options);

/// One line of output: the fault's kind, and `number=`, `at_ms=` and `lasts_ms=`.
[[nodiscard]] std::string describe(const fault& planned);

} // namespace kingcupcart::soak
