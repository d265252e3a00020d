#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/response_limits.h"
#include "duties/duty_lease.h"
#include "engines/target_protocol.h"
#include "http/client.h"
#include "http/response_budget.h"
#include "membership/directory.h"
#include "rollout/load_planner.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace kingcupcart::keeper {

/// Executes the actions of the load planner while this keeper leads: sends load orders to engines
/// and requests their reports, with one call at a time per engine.
class weight_orders {
public:
    struct parameters {
        /// Identifier of this keeper, which each order carries.
        instance_id holder;
        engines::target_protocol protocol;
        const membership::directory* targets = nullptr;
        const clock* time = nullptr;
        response_limits limits;
        /// Time that a new leader waits before its first order.
        duration lease{};
        /// Returns the fencing token of the orders that this keeper sends.
        std::function<fencing_token()> fence;
        /// Whether this keeper leads and no other keeper can have been elected leader.
        std::function<bool()> may_order;
        /// Total time that the machine was suspended.
        std::function<duration()> suspended = [] { return duration::zero(); };
    };
    struct callbacks {
        /// The engine said in a response that it is leaving.
        std::function<void(const target_id&, incarnation_id)> leaving;
        /// A call is about to be sent.
        std::function<void(const target_id&)> call_started;
        /// What a response says of the rate of requests that the engine takes. The time is that at
        /// which its call was sent.
        std::function<void(const target_id&, incarnation_id, const permits::limit_statement&,
                           time_point)>
            limit_stated;
        std::function<void(const target_id&, const model_name&, weight_version)> loaded;
        std::function<void(const target_id&, bool is_loading)> loading_changed;
    };

    weight_orders(parameters arguments, callbacks notify);
    ~weight_orders();
    weight_orders(const weight_orders&) = delete;
    weight_orders& operator=(const weight_orders&) = delete;

    /// Hands the message to the planner and executes its actions.
    void dispatch(const rollout::planner_message& message);
    void leadership_changed(bool is_leader);
    /// Memory of the responses to its calls.
    [[nodiscard]] const http::response_budget& responses() const { return this->client.budget(); }

private:
    struct open_call {
        /// Distinguishes the call from an earlier one to the same engine, whose response may still
        /// arrive.
        std::uint64_t number = 0;
        std::unique_ptr<http::client::call> call;
        http::response_head head;
        std::string body;
        time_point deadline{};
    };

    void execute(const rollout::planner_actions& actions);
    void send(const rollout::send_load_order& load);
    void request_report(const rollout::request_report& action);
    /// `may_write` is called before the request is written; the call is cancelled if it returns
    /// false.
    void start_call(const target_id& engine, const http::request& request,
                    std::function<bool()> may_write,
                    std::function<void(bool is_complete, open_call&)> on_complete);
    /// The engine's call with this number; null where it has ended.
    [[nodiscard]] open_call* find_call(const target_id& engine, std::uint64_t number);
    void end_call(const target_id& engine, bool is_complete);
    /// The fencing token with which an order may be sent now; empty if none may be.
    [[nodiscard]] std::optional<fencing_token> authority();
    [[nodiscard]] duties::duty_time duty_time() const {
        return {this->params.time->now(), this->params.suspended()};
    }
    void handle_timer();
    void arm();

    parameters params;
    callbacks notify;
    rollout::load_planner planner;
    http::client client;
    std::map<target_id, open_call> calls;
    std::map<target_id, std::function<void(bool, open_call&)>> completions;
    /// Ended calls, destroyed in the next event loop iteration because one of their own callbacks
    /// may still be running.
    std::vector<open_call> pending_deletion;
    std::uint64_t last_call_number = 0;
    bool is_leader = false;
    /// Whether this keeper may send orders: it leads, and the lease of an earlier leader has
    /// expired.
    bool has_authority = false;
    duties::duty_lease lease;
    task::wakeup timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::keeper
