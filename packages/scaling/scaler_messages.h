#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "routes/replica_scaling.h"
#include "scaling/replica_kind.h"

#include <cstdint>
#include <variant>
#include <vector>

/// Input messages of the replica scaler.
namespace kingcupcart::scaling {

/// A service whose replicas are ordered here.
struct scaled_service {
    backend_name service;
    /// Items that one replica runs at the same time; zero for a service that is not a model engine.
    slot_count slots_per_replica;
    routes::replica_scaling rules;
};

/// Replaces the set of services.
struct services_changed {
    std::vector<scaled_service> services;
};

/// A replica appeared, or its state changed.
struct replica_updated {
    target_id replica;
    backend_name service;
    failure_domain_id domain;
    replica_kind kind = replica_kind::normal;
    /// The replica accepts no new requests and will end.
    bool is_leaving = false;
};

/// A replica ended, or its heartbeats stopped.
struct replica_removed {
    target_id replica;
};

/// The load of one model.
struct model_load {
    model_name model;
    /// Slots that the needed items of the largest recent step occupy at the same time.
    slot_count largest_step;
    /// Slots that would be occupied by items that wait for one.
    slot_count waiting;
    /// Time by which the latest open step is expected to miss its due time; zero if none is.
    duration lateness{};
};

/// Replaces what is known of the load of a service.
struct load_report {
    backend_name service;
    std::vector<model_load> models;
};

/// Outcome of an order.
enum class order_result {
    accepted,
    /// No replicas of this kind are available in the failure domain at present.
    none_available,
    /// Not executed, since too many calls were made.
    busy,
    /// The platform rejects the order, and would reject a repeat of it.
    refused,
    /// No response arrived; the order may have been executed.
    unknown
};

/// Result of an `order_replicas` action. Exactly one follows each order.
struct order_response {
    backend_name service;
    failure_domain_id domain;
    order_number number;
    order_result result = order_result::unknown;
};

/// This instance gained or lost the authority to order replicas.
struct authority_changed {
    bool may_order = false;
};

/// The time that `replica_scaler::next_wakeup` returned has passed.
struct timer_expired {};

using scaler_message = std::variant<services_changed, replica_updated, replica_removed, load_report,
                                    order_response, authority_changed, timer_expired>;

} // namespace kingcupcart::scaling
