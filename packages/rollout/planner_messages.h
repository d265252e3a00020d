#pragma once

#include "base/ids.h"
#include "rollout/engine_weights.h"
#include "rollout/load_mode.h"

#include <cstdint>
#include <variant>
#include <vector>

/// What the load planner is told. One family of small structs.
namespace kingcupcart::rollout {

/// A service whose engines may run these models.
struct service_models {
    backend_name service;
    std::vector<model_name> models;
    load_mode mode = load_mode::wait;
};

struct services_changed {
    std::vector<service_models> services;
};

/// A trainer's newest weights.
struct version_named {
    model_name model;
    weight_version version;
};

/// Jobs that are open take no older weights than these.
struct version_needed {
    model_name model;
    weight_version oldest;
};

struct engine_seen {
    engine_weights state;
    /// A new incarnation, of whose orders nothing is known.
    bool is_restarted = false;
};

struct engine_lost {
    target_id engine;
};

/// This instance may give orders from now on, or no longer.
struct authority_changed {
    bool may_order = false;
};

/// What an engine said to an order, or that it said nothing.
enum class order_answer {
    /// It is being carried out.
    accepted,
    /// It holds already.
    holds,
    /// Another order is in progress, or the expected count of orders was wrong.
    conflict,
    /// Another incarnation has the address.
    wrong_engine,
    /// The engine does not know the version, or the order is malformed.
    refused,
    /// Nothing came back: it may be carried out, now or later.
    unknown
};

struct order_answered {
    target_id engine;
    order_answer answer = order_answer::unknown;
};

/// An engine's own report. `orders_accepted` is what the next order has to expect.
struct engine_reported {
    target_id engine;
    std::uint64_t orders_accepted = 0;
    bool is_busy = false;
    std::vector<version_named> versions;
};

/// The report did not come.
struct report_failed {
    target_id engine;
};

struct timer_expired {};

using planner_message =
    std::variant<services_changed, version_named, version_needed, engine_seen, engine_lost,
                 authority_changed, order_answered, engine_reported, report_failed, timer_expired>;

} // namespace kingcupcart::rollout
