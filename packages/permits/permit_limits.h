#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>

namespace kingcupcart::permits {

/// Parameters of the permits that instances need to send to a limited target.
struct permit_limits {
    /// How long after it asked for a permit a sender may use it. Bounds what late messages and
    /// unused permits add to the rate.
    duration lifetime = std::chrono::seconds(1);
    /// A sender repeats its demand at this interval while it waits.
    duration demand_interval = std::chrono::milliseconds(300);
    /// The issuer drops a demand that was not repeated for this time.
    duration demand_timeout = std::chrono::milliseconds(700);
    /// Time for which unused permits are saved up, beside a single one that always is.
    duration saving_time = std::chrono::milliseconds(500);
    /// Without an answer for this time, a sender takes the issuer for lost.
    duration issuer_timeout = std::chrono::milliseconds(1500);
    /// Part of the rate that all senders together use while the issuer is lost.
    double share_without_issuer = 0.5;
    /// Number of senders assumed before the issuer's first answer; large, so that their sum stays
    /// small.
    std::size_t assumed_senders = 256;
    /// How long a sender asks for a permit after a request went elsewhere for the lack of one. Such
    /// requests tell whether the limit still holds.
    duration spare_demand_time = std::chrono::seconds(1);
};

} // namespace kingcupcart::permits
