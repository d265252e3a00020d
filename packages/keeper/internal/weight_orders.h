#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "engines/target_protocol.h"
#include "http/client.h"
#include "membership/directory.h"
#include "rollout/load_planner.h"
#include "task/wakeup.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace kingcupcart::keeper {

/// Carries out what the load planner wants, while this keeper leads: orders to engines and
/// questions for their reports, one at a time for each engine.
class weight_orders {
public:
    struct parameters {
        instance_id holder;
        engines::target_protocol port;
        const membership::directory* targets = nullptr;
        const clock* time = nullptr;
        /// How long a new leader waits before its first order.
        duration lease{};
        /// The fence of orders, and whether this keeper leads for sure.
        std::function<fencing_number()> fence;
        std::function<bool()> may_order;
    };
    struct callbacks {
        std::function<void(const target_id&, const model_name&, weight_version)> loaded;
        std::function<void(const target_id&, bool is_loading)> loading_changed;
    };

    weight_orders(parameters arguments, callbacks notify);
    ~weight_orders();
    weight_orders(const weight_orders&) = delete;
    weight_orders& operator=(const weight_orders&) = delete;

    void tell_planner(const rollout::planner_message& said);
    void leadership_changed(bool is_leader);

private:
    struct open_call {
        /// Tells it from an earlier call to the same engine, which may still be answered.
        std::uint64_t number = 0;
        std::unique_ptr<http::client::call> call;
        http::answer_head head;
        std::string body;
        time_point due{};
    };

    void execute(const rollout::planner_actions& wanted);
    void send(const rollout::send_load& load);
    void ask(const rollout::ask_report& wanted);
    void start(const target_id& engine, const http::request& wanted,
               std::function<void(bool is_whole, open_call&)> ended);
    /// The engine's call of that number; null where it is over.
    [[nodiscard]] open_call* find(const target_id& engine, std::uint64_t number);
    void end(const target_id& engine, bool is_whole);
    void handle_timer();
    void arm();

    parameters params;
    callbacks notify;
    rollout::load_planner planner;
    http::client client;
    std::map<target_id, open_call> calls;
    std::map<target_id, std::function<void(bool, open_call&)>> ends;
    /// Calls that ended within their own callback.
    std::vector<open_call> finished;
    std::uint64_t last_call = 0;
    bool is_leader = false;
    bool has_authority = false;
    time_point authority_at{};
    task::wakeup timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::keeper
