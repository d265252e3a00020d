#pragma once

#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>

/// What senders and the issuer of permits tell each other.
namespace kingcupcart::permits {

/// A sender's outstanding demand for permits; replaces its earlier ones for the target.
struct permit_demand {
    target_id target;
    incarnation_id incarnation;
    /// Increases with each demand of the sender.
    std::uint64_t number = 0;
    /// Permits for which requests of callers wait.
    std::uint32_t waiting = 0;
    /// Permits for work that may be late: items of batch jobs, and requests that other targets can
    /// serve.
    std::uint32_t background = 0;
};

/// The issuer's answer to a demand, and later grants to it.
struct permit_grant {
    target_id target;
    incarnation_id incarnation;
    /// Number of the demand, by which the sender knows how old the permits are at most.
    std::uint64_t demand = 0;
    std::uint32_t permits = 0;
    /// Time after which one more waiting request would get its permit.
    duration expected_wait{};
    /// Number of instances that send to targets.
    std::uint32_t senders = 0;
};

/// A grant, and the sender that gets it.
struct addressed_grant {
    instance_id sender;
    permit_grant grant;
};

} // namespace kingcupcart::permits
