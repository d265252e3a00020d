#include "store/internal/remote_runs.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <utility>
#include <vector>

namespace kingcupcart::store {

namespace {

batch::run_failure failure_of(wire::item_run_status status) {
    switch (status) {
    case wire::item_run_status::declined:
        return batch::run_failure::declined;
    case wire::item_run_status::failed:
        return batch::run_failure::failed;
    case wire::item_run_status::impossible:
        return batch::run_failure::impossible;
    case wire::item_run_status::stale:
        return batch::run_failure::stale;
    default:
        return batch::run_failure::broken;
    }
}

} // namespace

remote_runs::remote_runs(parameters arguments)
    : params(std::move(arguments)), workers(this->params.max_local_runs) {}

remote_runs::~remote_runs() {
    for (const auto& [run, text] : this->texts) {
        if (const auto worker = this->workers.worker_of(run)) {
            this->params.send(*worker, wire::cancel_item_run{run});
        }
    }
}

void remote_runs::worker_connected(const instance_id& worker, const location& place) {
    this->workers.add(worker, place);
}

void remote_runs::worker_lost(const instance_id& worker) {
    const std::vector<batch::run_id> lost = this->workers.remove(worker);
    if (!lost.empty()) {
        spdlog::warn("runs lost with their store store={} runs={}", worker.value(), lost.size());
    }
    for (const batch::run_id run : lost) {
        this->finish(run, batch::run_failed{run, batch::run_failure::broken});
    }
}

bool remote_runs::start(const wire::run_item_request& request, const location& engine,
                        partial_text& text) {
    const auto worker = this->workers.choose(engine);
    if (!worker || !this->params.send(*worker, request)) {
        this->workers.start(request.run, std::nullopt);
        return false;
    }
    this->workers.start(request.run, worker);
    this->texts.emplace(request.run, &text);
    return true;
}

void remote_runs::cancel(batch::run_id run) {
    if (const auto worker = this->workers.worker_of(run)) {
        this->params.send(*worker, wire::cancel_item_run{run});
    }
    this->workers.end(run);
    this->texts.erase(run);
}

void remote_runs::handle(const instance_id& from, const wire::item_run_updates& message) {
    for (const wire::item_run_update& update : message.updates) {
        this->handle_update(from, update);
    }
}

void remote_runs::handle_update(const instance_id& from, const wire::item_run_update& update) {
    const auto found = this->texts.find(update.run);
    if (found == this->texts.end() || this->workers.worker_of(update.run) != from) {
        // The run was cancelled meanwhile.
        return;
    }
    partial_text& text = *found->second;
    const bool has_events = update.last_event > text.last_event;
    if (!append(text, update)) {
        this->finish(update.run, batch::run_failed{update.run, batch::run_failure::broken});
        return;
    }
    if (has_events) {
        this->params.notify(batch::run_progressed{update.run, text.last_event,
                                                  *text.versions.begin(), *text.versions.rbegin()});
    }
    if (update.status == wire::item_run_status::completed) {
        this->finish(update.run, batch::run_completed{update.run});
    } else if (update.status != wire::item_run_status::running) {
        this->finish(update.run, batch::run_failed{update.run, failure_of(update.status)});
    }
}

bool remote_runs::append(partial_text& text, const wire::item_run_update& update) {
    const bool has_events = update.last_event > text.last_event;
    if (update.last_event < text.last_event || (!has_events && !update.text.empty()) ||
        (has_events && update.versions.empty())) {
        spdlog::error("run update does not continue the item's text run={} event={} stored={}",
                      update.run.value(), update.last_event, text.last_event);
        return false;
    }
    text.text += update.text;
    text.last_event = update.last_event;
    text.versions.insert(update.versions.begin(), update.versions.end());
    return true;
}

void remote_runs::finish(batch::run_id run, const batch::scheduler_message& message) {
    // A run that the scheduler cancelled in response to its progress is no longer known.
    if (this->texts.erase(run) > 0) {
        this->workers.end(run);
        this->params.notify(message);
    }
}

} // namespace kingcupcart::store
