#pragma once

#include "base/clock.h"
#include "base/units.h"
#include "scaling/pool_numbers.h"
#include "scaling/replica_table.h"
#include "scaling/scaler_actions.h"
#include "scaling/scaler_limits.h"
#include "scaling/scaler_messages.h"
#include "scaling/step_demand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kingcupcart::scaling {

/// Decides how many replicas of each service to order in each failure domain. A state machine that
/// performs no I/O: `handle` consumes a message and returns actions.
///
/// Orders follow the slots that the steps of all models need at once. They rise in one go, and fall
/// after the demand has been lower for `hold_time`. An order names the number of replicas to have,
/// so it may be repeated; each service and failure domain has one order at a time without a result.
class replica_scaler {
public:
    explicit replica_scaler(scaler_limits limits = {})
        : limits(limits), replicas(limits.lost_memory) {}

    [[nodiscard]] scaler_actions handle(const scaler_message& incoming, time_point current_time);
    /// When `timer_expired` is due next; empty if no timer is needed.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// The numbers of each service, failure domain and kind; empty before the first decision.
    [[nodiscard]] std::vector<pool_numbers> numbers() const;

private:
    struct pool_plan {
        /// The replicas to have: by the latest accepted order, or those that existed before.
        replica_count ordered;
        /// Replicas that served at the latest decision.
        replica_count latest_present;
        /// The pool should have `ordered` replicas by then; empty if none are expected.
        std::optional<time_point> expected_until;
        time_point accepted_at{};
        /// No orders beyond what is present before this time.
        time_point unavailable_until{};
        std::optional<time_point> lowered_at;
        /// `ordered` has to be ordered again, since replicas were lost.
        bool needs_replacement = false;
        /// All replicas were lost, so that the failure domain may be lost or out of reach.
        bool is_emptied = false;
    };
    struct open_order {
        order_replicas content;
        bool is_in_flight = false;
        time_point retry_at{};
        duration retry_delay{};
    };
    struct domain_plan {
        pool_plan normal;
        pool_plan spot;
        std::optional<open_order> order;
    };
    struct service_plan {
        scaled_service service;
        step_demand demand;
        std::map<failure_domain_id, domain_plan> domains;
        /// The replicas that existed before the first order have been counted.
        bool is_initialized = false;
        time_point lowered_at{};
    };
    /// The numbers to order in one failure domain, and why.
    struct domain_goal {
        std::int64_t normal = 0;
        std::int64_t spot = 0;
        order_reason normal_reason = order_reason::demand;
        order_reason spot_reason = order_reason::reserve;
    };
    using service_goal = std::map<failure_domain_id, domain_goal>;

    void on(const services_changed& changed);
    void on(const replica_updated& updated);
    void on(const replica_removed& removed);
    void on(const load_report& report);
    void on(const order_response& response);
    void on(const authority_changed& changed);
    void on(const timer_expired& expired);

    void decide(service_plan& plan);
    /// Counts the replicas that exist, which orders are based on.
    void initialize(service_plan& plan);
    /// Compares the replicas that exist with those that were ordered.
    void follow(const service_plan& plan, const failure_domain_id& domain, replica_kind kind,
                pool_plan& pool);
    [[nodiscard]] service_goal choose(service_plan& plan, decision_basis& basis);
    void add_minimum(const service_plan& plan, service_goal& goal) const;
    /// Distributes replicas that are missing; returns how many found no place.
    [[nodiscard]] std::int64_t add_normal(const service_plan& plan, service_goal& goal,
                                          std::int64_t missing, order_reason reason) const;
    /// Distributes the reserve, and normal replicas that found no place.
    void add_spot(const service_plan& plan, service_goal& goal, std::int64_t unplaced) const;
    void remove_surplus(service_plan& plan, service_goal& goal);
    void send_orders(service_plan& plan, const service_goal& goal, const decision_basis& basis);
    /// Sends the order if it changes the number that was ordered or replaces what was lost, and no
    /// other order of the failure domain is open.
    void order(domain_plan& domain, order_replicas content);
    void send(open_order& order);

    /// Whether the demand has been known for long enough to order fewer replicas.
    [[nodiscard]] bool may_lower(const service_plan& plan) const;
    /// Whether slots are known that a replica has, so that the demand tells how many are needed.
    [[nodiscard]] static bool is_engine(const service_plan& plan) {
        return plan.service.slots_per_replica > slot_count();
    }
    [[nodiscard]] std::int64_t needed_replicas(const service_plan& plan) const;
    /// Normal replicas that serve or are expected to serve soon.
    [[nodiscard]] std::int64_t expected_replicas(const service_plan& plan) const;
    [[nodiscard]] std::int64_t expected_replicas(const service_plan& plan,
                                                 const failure_domain_id& domain,
                                                 const pool_plan& pool) const;
    /// The share of the needed replicas that one failure domain should have at most.
    [[nodiscard]] std::int64_t domain_share(const service_plan& plan) const;
    /// Replicas that each failure domain has beyond the need, in case one is lost or cut off.
    [[nodiscard]] static std::int64_t reserve_per_domain(const service_plan& plan) {
        return is_engine(plan) && plan.domains.size() > 1 ? 1 : 0;
    }
    [[nodiscard]] static bool uses_spot_reserve(const service_plan& plan) {
        return plan.service.rules.spot_price < relative_price(1);
    }
    [[nodiscard]] bool is_available(const pool_plan& pool) const {
        return pool.unavailable_until <= this->now;
    }
    [[nodiscard]] static relative_price price_of(const service_plan& plan,
                                                 const failure_domain_id& domain);
    [[nodiscard]] static pool_plan& pool_of(domain_plan& domain, replica_kind kind) {
        return kind == replica_kind::spot ? domain.spot : domain.normal;
    }

    scaler_limits limits;
    replica_table replicas;
    std::map<backend_name, service_plan> services;
    bool may_order = false;
    time_point settled_at{};
    std::uint64_t last_order = 0;
    time_point now{};
    scaler_actions output;
};

} // namespace kingcupcart::scaling
