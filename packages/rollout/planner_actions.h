#pragma once

#include "base/ids.h"
#include "rollout/load_mode.h"

#include <cstdint>
#include <variant>
#include <vector>

/// What the load planner wants done. One family of small structs.
namespace kingcupcart::rollout {

/// Order the engine to take these weights.
struct send_load {
    target_id engine;
    model_name model;
    weight_version version;
    load_mode mode = load_mode::wait;
    /// The order is void where the engine has accepted another number of orders.
    std::uint64_t orders_expected = 0;
};

/// Ask the engine for its report.
struct ask_report {
    target_id engine;
};

/// The engine takes new weights, or does no longer.
struct loading_changed {
    target_id engine;
    bool is_loading = false;
};

/// The engine has these weights.
struct weights_loaded {
    target_id engine;
    model_name model;
    weight_version version;
};

using planner_action = std::variant<send_load, ask_report, loading_changed, weights_loaded>;
using planner_actions = std::vector<planner_action>;

} // namespace kingcupcart::rollout
