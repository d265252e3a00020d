#pragma once

#include "base/ids.h"
#include "base/units.h"
#include "rollout/engine_weights.h"
#include "rollout/load_mode.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

/// Input messages of the load planner.
namespace kingcupcart::rollout {

/// A service and the models that its engines may run.
struct service_models {
    backend_name service;
    std::vector<model_name> models;
    load_mode mode = load_mode::wait;
};

/// Replaces the set of services.
struct services_changed {
    std::vector<service_models> services;
};

/// A version of a model's weights. As a message: the newest version that a trainer published.
struct model_version {
    model_name model;
    weight_version version;
};

/// Open jobs of the model accept no weights older than this version.
struct required_version {
    model_name model;
    weight_version oldest;
};

/// What the training steps of one model need of the engines of one service.
struct model_demand {
    backend_name service;
    model_name model;
    /// Output that recent steps asked for per second.
    tokens_per_second work{0};
    /// Items of the largest recent step, which need a slot at the same time.
    std::size_t largest_step_items = 0;
};

/// Recent demand, as the leading store reports it. Models that are not listed keep their last one.
struct demand_changed {
    std::vector<model_demand> models;
};

/// An engine appeared, or its properties changed.
struct engine_updated {
    engine_weights state;
    /// The engine is a new incarnation; the number of orders that it has accepted is unknown.
    bool is_restarted = false;
};

/// The engine was removed.
struct engine_removed {
    target_id engine;
};

/// This instance gained or lost the authority to send load orders.
struct authority_changed {
    bool may_send_orders = false;
};

/// Outcome of a load order.
enum class load_order_result {
    /// The engine accepted the order and loads the weights.
    accepted,
    /// The engine has the weights already.
    holds,
    /// Another order is in progress, or the expected number of orders was wrong.
    conflict,
    /// Another incarnation uses the address.
    wrong_engine,
    /// The engine does not know the version, or the order is malformed.
    refused,
    /// No valid response arrived: the engine may execute the order now or later.
    unknown
};

/// Result of a `send_load_order` action.
struct load_order_response {
    target_id engine;
    load_order_result result = load_order_result::unknown;
};

/// Status report of an engine. The next order must expect `orders_accepted`.
struct engine_report {
    target_id engine;
    std::uint64_t orders_accepted = 0;
    /// The engine is loading weights.
    bool is_busy = false;
    std::vector<model_version> versions;
};

/// No valid report arrived in response to `request_report`.
struct report_failed {
    target_id engine;
};

/// The time that `load_planner::next_wakeup` returned has passed.
struct timer_expired {};

using planner_message =
    std::variant<services_changed, model_version, required_version, demand_changed, engine_updated,
                 engine_removed, authority_changed, load_order_response, engine_report,
                 report_failed, timer_expired>;

} // namespace kingcupcart::rollout
