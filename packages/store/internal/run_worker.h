#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/response_limits.h"
#include "batch/scheduler_messages.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "http/client.h"
#include "http/response_budget.h"
#include "store/internal/item_run.h"
#include "store/internal/partial_text.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"
#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace kingcupcart::store {

/// Carries out runs of items for the leading store, which decides what runs where. Reports the
/// progress of all runs together, once per interval, and the end of a run at once.
class run_worker {
public:
    struct parameters {
        const clock* time = nullptr;
        /// The targets, by which engines are addressed.
        fleet::keeper_client* fleet = nullptr;
        engines::target_protocol protocol;
        telemetry::metric_set* metrics = nullptr;
        response_limits limits;
        /// Sends a message over a link that the leader opened.
        std::function<void(std::uint64_t link, const wire::message&)> send;
        /// Memory of the responses, shared with the other clients of the task.
        std::shared_ptr<http::response_budget> budget = nullptr;
    };

    explicit run_worker(parameters arguments);
    ~run_worker();
    run_worker(const run_worker&) = delete;
    run_worker& operator=(const run_worker&) = delete;

    /// Returns false if the message is not meant for a worker.
    bool handle(std::uint64_t link, const wire::message& incoming);
    /// Cancels the runs that were requested over the link.
    void link_lost(std::uint64_t link);
    [[nodiscard]] std::size_t running_count() const { return this->runs.size(); }

private:
    /// The link over which the run was requested, and the leader's identifier of the run.
    using run_key = std::pair<std::uint64_t, batch::run_id>;

    struct active_run {
        std::unique_ptr<item_run> run;
        partial_text text;
        /// Length of the part of the text that the leader has received.
        std::size_t reported_bytes = 0;
        std::size_t reported_event = 0;
    };

    void start(std::uint64_t link, const wire::run_item_request& request);
    void on_run_message(const run_key& key, const batch::scheduler_message& message);
    void end(const run_key& key, wire::item_run_status status);
    void remove(const run_key& key);
    void report_progress();
    static wire::item_run_update make_update(batch::run_id run, active_run& active,
                                             wire::item_run_status status);

    parameters params;
    http::client client;
    std::map<run_key, std::unique_ptr<active_run>> runs;
    /// Ended runs, each of which may still be in its callback.
    std::vector<std::unique_ptr<active_run>> pending_deletion;
    task::wakeup report_timer;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::store
