#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "scaling/replica_kind.h"

#include <variant>
#include <vector>

/// Actions that the replica scaler requests from its caller.
namespace kingcupcart::scaling {

enum class order_reason {
    /// Steps need more slots than there are.
    demand,
    /// A step is expected to miss its due time.
    late_step,
    /// Replicas were lost, or an earlier order brought too few.
    replacement,
    /// The domain has fewer replicas than the configured minimum.
    minimum,
    /// A replica more than needed, in case a domain is lost or cut off.
    reserve,
    /// The demand has been lower for a long time.
    surplus
};

[[nodiscard]] inline const char* to_string(order_reason reason) {
    switch (reason) {
    case order_reason::demand:
        return "demand";
    case order_reason::late_step:
        return "late-step";
    case order_reason::replacement:
        return "replacement";
    case order_reason::minimum:
        return "minimum";
    case order_reason::reserve:
        return "reserve";
    case order_reason::surplus:
        return "surplus";
    }
    return "?";
}

/// What was known of the service when an order was decided.
struct decision_basis {
    /// Slots that the largest recent demand needs.
    slot_count needed_slots;
    /// Normal replicas that these slots need, with replacements of unavailable reserve.
    replica_count needed;
    /// Normal replicas in all failure domains that serve or are expected to serve soon.
    replica_count expected;
    /// Replicas of the ordered kind that serve in the failure domain.
    replica_count present;
    slot_count waiting;
    duration lateness{};
    /// Age of the latest load report.
    duration load_age{};
};

/// Order the platform to have this number of replicas. The result is an `order_response`.
struct order_replicas {
    backend_name service;
    failure_domain_id domain;
    replica_kind kind = replica_kind::normal;
    replica_count desired;
    order_number number;
    /// The same order was sent before, and has no result or was not executed.
    bool is_repeated = false;
    order_reason reason = order_reason::demand;
    decision_basis basis;
};

/// Replicas of an accepted order have not appeared; others are ordered elsewhere.
struct replicas_missing {
    backend_name service;
    failure_domain_id domain;
    replica_kind kind = replica_kind::normal;
    replica_count desired;
    replica_count present;
    duration since_order{};
};

using scaler_action = std::variant<order_replicas, replicas_missing>;
using scaler_actions = std::vector<scaler_action>;

} // namespace kingcupcart::scaling
