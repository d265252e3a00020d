#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/location.h"
#include "base/response_limits.h"
#include "base/wall_clock.h"
#include "batch/commands.h"
#include "batch/demand_meter.h"
#include "batch/item_scheduler.h"
#include "batch/job_record.h"
#include "batch/job_state_machine.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "http/client.h"
#include "http/response_budget.h"
#include "store/internal/item_run.h"
#include "store/internal/partial_text.h"
#include "store/internal/remote_runs.h"
#include "store/internal/score_runner.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace kingcupcart::store {

/// Executes the actions of the item scheduler: runs the items of open jobs on engines. Exists only
/// while this store leads.
class item_runner {
public:
    struct parameters {
        /// Runs that this store carries out itself.
        std::size_t max_local_runs = 0;
        location place;
        std::uint64_t seed = 0;
        const clock* time = nullptr;
        const wall_clock* wall = nullptr;
        fleet::keeper_client* fleet = nullptr;
        const batch::job_state_machine* state_machine = nullptr;
        engines::target_protocol protocol;
        telemetry::metric_set* metrics = nullptr;
        response_limits limits;
        /// Receives the result of each item that completed or was given up; the callee replicates
        /// it.
        std::function<void(const job_id&, batch::item_result)> on_result;
        /// Sends a message to another store; returns false if the link is not open.
        std::function<bool(const instance_id&, const wire::message&)> send_to_store;
        /// Memory of the responses, shared with the other clients of the task.
        std::shared_ptr<http::response_budget> budget = nullptr;
    };

    explicit item_runner(parameters arguments);
    ~item_runner();
    item_runner(const item_runner&) = delete;
    item_runner& operator=(const item_runner&) = delete;

    void open(const batch::job_record& record);
    void close(const job_id& job);
    /// Ends the runs of items that have a result now.
    void record_results(const batch::append_results& recorded);
    void target_changed(const membership::directory_change& change);
    /// The permits of a limited target have changed.
    void permits_changed(const target_id& target);
    /// Another store is ready to carry out runs.
    void worker_connected(const instance_id& worker, const location& place) {
        this->remote.worker_connected(worker, place);
    }
    void worker_lost(const instance_id& worker) { this->remote.worker_lost(worker); }
    void handle(const instance_id& from, const wire::item_run_updates& message) {
        this->remote.handle(from, message);
    }
    /// Handles a new route table, which may change the services of routes and the engines' memory.
    void routes_changed();

    [[nodiscard]] std::size_t running_count() const { return this->scheduler.running_count(); }
    [[nodiscard]] std::size_t waiting_count() const { return this->scheduler.waiting_count(); }
    [[nodiscard]] std::size_t waiting_count(const model_name& model) const {
        return this->scheduler.waiting_count(model);
    }
    /// Demand of the models whose steps this store has run since it leads.
    [[nodiscard]] std::vector<batch::step_demand> demand() const {
        return this->meter.demand(this->params.wall->now());
    }
    /// Number of complete texts without a score.
    [[nodiscard]] std::size_t unscored_count() const { return this->scores.pending_count(); }

private:
    /// Queues the message, and processes the queue unless that is under way already.
    void dispatch(const batch::scheduler_message& message);
    void process_inbox();
    void execute(const batch::scheduler_action& action);
    void on(const batch::start_run& action);
    /// Sends up to `runs_sent_per_iteration` of the unsent runs.
    void send_unsent_runs();
    void send(const batch::start_run& action);
    void run_locally(const batch::start_run& action, const wire::run_item_request& request,
                     const membership::target_record& target, partial_text& text);
    void on(const batch::cancel_run& cancelled);
    void on(const batch::item_completed& completed);
    void on(const batch::item_given_up& given_up);
    void on(const batch::discard_item_text& discarded);
    void on(const batch::item_restarted& restarted);
    /// Stops the run, where it still exists, and schedules its deletion.
    void remove_run(batch::run_id run);
    /// Adds the job, if it is a training step, to the demand of its services.
    void measure_step(const batch::job_record& record, const routes::route* route);
    [[nodiscard]] batch::engine engine_of(const membership::target_record& record) const;
    [[nodiscard]] batch::job_opened describe(const batch::job_record& record,
                                             const routes::route* route) const;
    [[nodiscard]] const routes::route* route_of(const batch::job& job) const;

    parameters params;
    score_runner scores;
    batch::item_scheduler scheduler;
    batch::demand_meter meter;
    http::client client;
    std::unordered_map<batch::run_id, std::unique_ptr<item_run>> runs;
    /// Destroyed after `remote`, which refers to the texts.
    std::unordered_map<item_id, partial_text> partial_texts;
    remote_runs remote;
    /// Runs that wait to be sent, in the scheduler's order.
    std::deque<batch::start_run> unsent_runs;
    /// Jobs opened while the route table had no route for them.
    std::vector<job_id> jobs_without_route;
    /// Messages that arrive while another message is being processed.
    std::deque<batch::scheduler_message> inbox;
    bool is_processing = false;
    std::vector<std::unique_ptr<item_run>> pending_deletion;
    task::wakeup scheduler_timer;
    task::wakeup send_timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::store
