#pragma once

#include "base/clock.h"
#include "rollout/model_assignment.h"
#include "rollout/planner_actions.h"
#include "rollout/planner_limits.h"
#include "rollout/planner_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::rollout {

/// Decides which engine loads which weights, and when. A state machine that performs no I/O:
/// `handle` consumes a message and returns actions.
///
/// Each engine serves one of its service's models, because loading all models on all engines would
/// leave no time for generation. The engines are divided in proportion to the work of the models'
/// steps, or equally while that is unknown. Where a service has several models, an engine loads
/// only every other version as long as open jobs accept the version before the newest; half of the
/// engines then run a whole training step without a pause for loading. Each load order carries the
/// number of orders that the engine must have accepted before, so that a delayed order cannot
/// override a newer one.
class load_planner {
public:
    explicit load_planner(planner_limits limits = {}) : limits(limits) {}

    [[nodiscard]] planner_actions handle(const planner_message& incoming, time_point current_time);
    /// When `timer_expired` is due next; empty if no timer is needed.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

private:
    enum class load_step {
        idle,
        /// An order was sent; its result is pending.
        ordered,
        /// The engine accepted an order, or reported that it is loading.
        loading,
        /// A report request was sent; the report is pending.
        report_requested
    };
    struct engine_plan {
        engine_weights weights;
        /// The model that the engine serves; empty if its service has no models.
        model_name assigned_model;
        /// The engine loads even version numbers; if false, odd ones. Empty until it has a model.
        std::optional<bool> loads_even_versions;
        load_step current_step = load_step::idle;
        bool is_loading = false;
        /// Version in the latest load order.
        model_version ordered_version;
        /// `orders_accepted` may be wrong; a report must arrive before the next order.
        bool needs_report = false;
        std::uint64_t orders_accepted = 0;
        /// No action is due for the engine before this time.
        time_point next_step_at{};
    };

    void on(const services_changed& changed);
    void on(const model_version& version);
    void on(const required_version& required);
    void on(const demand_changed& changed);
    void on(const engine_updated& updated);
    void on(const engine_removed& removed);
    void on(const authority_changed& changed);
    void on(const load_order_response& response);
    void on(const engine_report& report);
    void on(const report_failed& failed);
    void on(const timer_expired& expired);

    /// Distributes each service's engines among its models. Keeps what is assigned, except for
    /// engines without a model, and for models with too few engines.
    void assign_models();
    void assign_models(const service_models& service);
    /// Reassigns engines of services whose numbers of engines have long differed from the demand.
    void rebalance_models();
    void rebalance_models(const service_models& service);
    /// Engines that each model of the service should have.
    [[nodiscard]] model_counts wanted_counts(const service_models& service) const;
    [[nodiscard]] model_counts assigned_counts(const service_models& service) const;
    [[nodiscard]] std::size_t member_count(const backend_name& service) const;
    [[nodiscard]] static const model_name& model_that_lacks_most(const service_models& service,
                                                                 const model_counts& wanted,
                                                                 model_counts& counts);
    [[nodiscard]] std::uint64_t versions_behind(const engine_plan& plan) const;
    [[nodiscard]] bool is_demand_known(const service_models& service) const;
    /// Gives the engine of the model with the largest surplus to the model that lacks most.
    bool reassign_one(const service_models& service, const model_counts& wanted,
                      model_counts& counts);
    /// Adopts the assignment of an earlier leader, as far as the engines' weights show it.
    void adopt_assignments();
    /// Halves each model's engines by the version numbers that they load, with few changes.
    void balance_version_halves(const service_models& service);
    /// Sends load orders and report requests that are due, within the limit of parallel loads.
    void plan_due_steps();
    void record_version(engine_plan& plan, const model_name& model, weight_version version);
    void end_load(engine_plan& plan);
    void set_loading(engine_plan& plan, bool is_loading);
    void send_report_request(engine_plan& plan);
    /// Whether the engine should load the newest weights now.
    [[nodiscard]] bool is_behind(const engine_plan& plan) const;
    [[nodiscard]] static weight_version loaded_version_of(const engine_plan& plan);
    [[nodiscard]] std::size_t max_parallel_loads(const backend_name& service) const;
    [[nodiscard]] const service_models* find_service(const backend_name& name) const;

    planner_limits limits;
    std::vector<service_models> services;
    std::map<model_name, weight_version> newest_versions;
    std::map<model_name, weight_version> required_versions;
    std::map<backend_name, std::map<model_name, model_demand>> demand;
    /// Since when a service's numbers of engines have differed from its demand.
    std::map<backend_name, time_point> imbalanced_since;
    std::map<target_id, engine_plan> engines;
    bool may_send_orders = false;
    time_point now{};
    planner_actions output;
};

} // namespace kingcupcart::rollout
