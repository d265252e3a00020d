#pragma once

#include "base/ids.h"
#include "rollout/load_mode.h"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

/// Actions that the load planner requests from its caller.
namespace kingcupcart::rollout {

/// Send the engine an order to load these weights.
struct send_load_order {
    target_id engine;
    model_name model;
    weight_version version;
    load_mode mode = load_mode::wait;
    /// The engine rejects the order unless this equals the number of orders that it has accepted.
    std::uint64_t orders_expected = 0;
};

/// Request a status report from the engine. The response is an `engine_report` or a `report_failed`
/// message.
struct request_report {
    target_id engine;
};

/// The engine started or finished loading weights.
struct loading_changed {
    target_id engine;
    bool is_loading = false;
};

/// The engine has loaded these weights.
struct weights_loaded {
    target_id engine;
    model_name model;
    weight_version version;
};

/// The engine serves another model from now on. For the log only.
struct engine_reassigned {
    target_id engine;
    backend_name service;
    model_name from;
    model_name to;
    /// Engines of the two models after the change, and how many their demand calls for.
    std::size_t engines_of_from = 0;
    std::size_t wanted_of_from = 0;
    std::size_t engines_of_to = 0;
    std::size_t wanted_of_to = 0;
};

using planner_action = std::variant<send_load_order, request_report, loading_changed,
                                    weights_loaded, engine_reassigned>;
using planner_actions = std::vector<planner_action>;

} // namespace kingcupcart::rollout
