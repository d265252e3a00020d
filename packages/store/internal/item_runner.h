#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/wall_clock.h"
#include "batch/item_scheduler.h"
#include "batch/job_book.h"
#include "batch/job_record.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "http/client.h"
#include "store/internal/item_run.h"
#include "store/internal/partial_text.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace kingcupcart::store {

/// Has the items of open jobs run, as the item scheduler decides. It lives as long as this store
/// leads.
class item_runner {
public:
    struct parameters {
        const clock* time = nullptr;
        const wall_clock* wall = nullptr;
        const fleet::keeper_client* fleet = nullptr;
        const batch::job_book* book = nullptr;
        engines::target_protocol port;
        telemetry::metric_set* metrics = nullptr;
        /// An item ended; its result is to be listed.
        std::function<void(const job_id&, batch::item_result)> ended;
    };

    explicit item_runner(parameters arguments);
    ~item_runner();
    item_runner(const item_runner&) = delete;
    item_runner& operator=(const item_runner&) = delete;

    void open(const batch::job_record& record);
    void close(const job_id& job);
    void target_changed(const membership::directory_change& change);
    /// Services of routes, and the engines' memory, may have changed.
    void routes_changed();

    [[nodiscard]] std::size_t running_count() const { return this->scheduler.running_count(); }
    [[nodiscard]] std::size_t waiting_count() const { return this->scheduler.waiting_count(); }

private:
    void notify(const batch::scheduler_message& said);
    void process_inbox();
    void execute(const batch::scheduler_action& wanted);
    void on(const batch::start_run& started);
    /// Sends some of the runs that wait to be sent.
    void send_some();
    void send(const batch::start_run& started);
    void on(const batch::cancel_run& cancelled);
    void on(const batch::item_completed& completed);
    void on(const batch::item_given_up& lost);
    void on(const batch::item_dropped& dropped);
    void retire(batch::run_id run);
    [[nodiscard]] batch::engine engine_of(const membership::target_record& record) const;
    [[nodiscard]] batch::job_opened describe(const batch::job_record& record,
                                             const routes::route* route) const;
    [[nodiscard]] const routes::route* route_of(const batch::job& job) const;

    parameters params;
    batch::item_scheduler scheduler;
    http::client client;
    std::unordered_map<batch::run_id, std::unique_ptr<item_run>> runs;
    std::unordered_map<item_id, partial_text> texts;
    /// Runs that are to be sent, in order.
    std::deque<batch::start_run> unsent;
    /// Jobs that came while their route was not known.
    std::vector<job_id> unrouted;
    /// What was said while something else was worked off.
    std::deque<batch::scheduler_message> inbox;
    bool is_working = false;
    std::vector<std::unique_ptr<item_run>> finished;
    task::wakeup timer;
    task::wakeup sender;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::store
