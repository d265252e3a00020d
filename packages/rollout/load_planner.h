#pragma once

#include "base/clock.h"
#include "rollout/planner_actions.h"
#include "rollout/planner_limits.h"
#include "rollout/planner_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::rollout {

/// Decides which engine takes which weights and when. A plain state machine.
///
/// Each engine serves one of its service's models: loading all models on all engines would leave no
/// time to generate. Of two successive versions an engine loads one, as long as jobs allow the
/// version before the newest: half of the engines then run a whole step without the pause of a
/// load. An order names the count of orders that the engine must have accepted, so that one that is
/// carried out late cannot undo a later one.
class load_planner {
public:
    explicit load_planner(planner_limits limits = {}) : limits(limits) {}

    [[nodiscard]] planner_actions handle(const planner_message& incoming, time_point now);
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    enum class step {
        idle,
        /// An order was sent and not answered yet.
        ordered,
        /// The engine loads.
        loading,
        /// A report was asked for.
        asked
    };
    struct engine_plan {
        engine_weights known;
        /// The one model that the engine serves; empty where there is none.
        model_name serves;
        /// Loads even versions, or odd ones.
        bool loads_even = false;
        step at = step::idle;
        bool is_loading = false;
        /// What is being loaded.
        version_named wanted;
        /// Nothing is known of the engine's count of orders.
        bool needs_report = false;
        std::uint64_t orders_accepted = 0;
        /// The next step is due then.
        time_point due{};
    };

    void on(const services_changed& changed);
    void on(const version_named& named);
    void on(const version_needed& needed);
    void on(const engine_seen& seen);
    void on(const engine_lost& lost);
    void on(const authority_changed& changed);
    void on(const order_answered& answered);
    void on(const engine_reported& reported);
    void on(const report_failed& failed);
    void on(const timer_expired& passed);

    /// Divides each service's engines among its models.
    void assign();
    void plan();
    void take_version(engine_plan& plan, const model_name& model, weight_version version);
    void end_load(engine_plan& plan);
    void set_loading(engine_plan& plan, bool is_loading);
    void ask(engine_plan& plan);
    /// Whether it is to load the newest weights now.
    [[nodiscard]] bool is_behind(const engine_plan& plan) const;
    [[nodiscard]] static weight_version version_of(const engine_plan& plan);
    [[nodiscard]] std::size_t limit_of(const backend_name& service) const;
    [[nodiscard]] const service_models* find_service(const backend_name& name) const;

    planner_limits limits;
    std::vector<service_models> services;
    std::map<model_name, weight_version> named;
    std::map<model_name, weight_version> needed;
    std::map<target_id, engine_plan> engines;
    bool may_order = false;
    time_point now{};
    planner_actions output;
};

} // namespace kingcupcart::rollout
