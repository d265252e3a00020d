#pragma once

#include "base/ids.h"
#include "base/location.h"
#include "batch/scheduler_messages.h"
#include "batch/worker_pool.h"
#include "store/internal/partial_text.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace kingcupcart::store {

/// The leading store's view of the runs that other stores carry out for it.
class remote_runs {
public:
    struct parameters {
        /// Runs that the leading store carries out itself.
        std::size_t max_local_runs = 0;
        /// Sends a message to another store; returns false if the link is not open.
        std::function<bool(const instance_id&, const wire::message&)> send;
        /// Receives the progress and the end of each run.
        std::function<void(const batch::scheduler_message&)> notify;
    };

    explicit remote_runs(parameters arguments);
    /// Cancels the runs.
    ~remote_runs();
    remote_runs(const remote_runs&) = delete;
    remote_runs& operator=(const remote_runs&) = delete;

    void worker_connected(const instance_id& worker, const location& place);
    /// Its runs end as broken.
    void worker_lost(const instance_id& worker);
    /// Sends the run to a store. Returns false if this store is to carry it out itself; `end` must
    /// be called for such a run too. `text` has to exist until the run ends.
    bool start(const wire::run_item_request& request, const location& engine, partial_text& text);
    /// Cancels the run if it is still in progress at another store.
    void cancel(batch::run_id run);
    /// The run that this store carried out itself has ended.
    void end(batch::run_id run) { this->workers.end(run); }
    void handle(const instance_id& from, const wire::item_run_updates& message);

private:
    void handle_update(const instance_id& from, const wire::item_run_update& update);
    /// Appends the update to the item's text; false if it does not continue it.
    static bool append(partial_text& text, const wire::item_run_update& update);
    void finish(batch::run_id run, const batch::scheduler_message& message);

    parameters params;
    batch::worker_pool workers;
    std::unordered_map<batch::run_id, partial_text*> texts;
};

} // namespace kingcupcart::store
