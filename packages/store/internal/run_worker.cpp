#include "store/internal/run_worker.h"

#include "forwarding/response_observer.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <variant>

namespace kingcupcart::store {

namespace {

/// Interval at which the engines' streams are read, and at which progress is reported. The leader
/// needs the progress to recognize slow and silent engines within a second.
constexpr duration read_interval = std::chrono::milliseconds(25);
constexpr duration report_interval = std::chrono::milliseconds(150);

wire::item_run_status status_of(batch::run_failure failure) {
    switch (failure) {
    case batch::run_failure::declined:
        return wire::item_run_status::declined;
    case batch::run_failure::failed:
        return wire::item_run_status::failed;
    case batch::run_failure::impossible:
        return wire::item_run_status::impossible;
    case batch::run_failure::broken:
        return wire::item_run_status::broken;
    case batch::run_failure::stale:
        return wire::item_run_status::stale;
    }
    return wire::item_run_status::broken;
}

} // namespace

run_worker::run_worker(parameters arguments)
    : params(std::move(arguments)),
      client(*this->params.time, {this->params.limits, read_interval, this->params.budget}),
      report_timer([this] { this->report_progress(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

run_worker::~run_worker() = default;

bool run_worker::handle(std::uint64_t link, const wire::message& incoming) {
    if (const auto* request = std::get_if<wire::run_item_request>(&incoming)) {
        this->start(link, *request);
    } else if (const auto* cancelled = std::get_if<wire::cancel_item_run>(&incoming)) {
        this->remove({link, cancelled->run});
    } else {
        return false;
    }
    return true;
}

void run_worker::start(std::uint64_t link, const wire::run_item_request& request) {
    const run_key key{link, request.run};
    const membership::target_record* target = this->params.fleet->targets().find(request.engine);
    if (target == nullptr || target->leaving) {
        spdlog::info("run declined item={} job={} engine={} reason=\"{}\"", request.item.id.value(),
                     request.job.value(), request.engine.value(),
                     target == nullptr ? "unknown engine" : "the engine is leaving");
        wire::item_run_update declined;
        declined.run = request.run;
        declined.status = wire::item_run_status::declined;
        declined.last_event = request.resume_after;
        this->params.send(link, wire::item_run_updates{{declined}});
        return;
    }
    spdlog::info("run started item={} job={} engine={} software={} resume_after={} running={}",
                 request.item.id.value(), request.job.value(), request.engine.value(),
                 target->software.value(), request.resume_after, this->runs.size());
    this->params.metrics->count("runs_carried_out_total");
    auto active = std::make_unique<active_run>();
    active->text.last_event = request.resume_after;
    active->reported_event = request.resume_after;
    item_run::parameters arguments;
    arguments.action.run = request.run;
    arguments.action.job = request.job;
    arguments.action.item = request.item.id;
    arguments.action.engine = request.engine;
    arguments.action.resume_after = request.resume_after;
    arguments.protocol = this->params.protocol;
    arguments.oldest_version = request.oldest_version;
    arguments.needs_versions = request.needs_versions;
    arguments.text = &active->text;
    arguments.head_received =
        [this, engine = target->id, incarnation = target->incarnation, item = request.item.id,
         sent_at = this->params.time->now()](const http::response_head& head) {
            forwarding::observe_response(*this->params.fleet, this->params.protocol,
                                         {engine, incarnation, item.value(), sent_at}, head);
        };
    active->run =
        std::make_unique<item_run>(arguments, [this, key](const batch::scheduler_message& message) {
            this->on_run_message(key, message);
        });
    item_run& added = *active->run;
    if (this->runs.empty()) {
        this->report_timer.arm(this->params.time->now() + report_interval);
    }
    this->remove(key);
    this->runs.emplace(key, std::move(active));
    added.start(this->client, this->params.protocol.run_item(
                                  {request.item, request.host, request.resume_after}, *target));
}

void run_worker::on_run_message(const run_key& key, const batch::scheduler_message& message) {
    if (std::holds_alternative<batch::run_completed>(message)) {
        this->end(key, wire::item_run_status::completed);
    } else if (const auto* failed = std::get_if<batch::run_failed>(&message)) {
        this->end(key, status_of(failed->failure));
    }
}

wire::item_run_update run_worker::make_update(batch::run_id run, active_run& active,
                                              wire::item_run_status status) {
    wire::item_run_update update;
    update.run = run;
    update.status = status;
    update.last_event = active.text.last_event;
    update.text = active.text.text.substr(active.reported_bytes);
    update.versions.assign(active.text.versions.begin(), active.text.versions.end());
    active.reported_bytes = active.text.text.size();
    active.reported_event = active.text.last_event;
    return update;
}

void run_worker::end(const run_key& key, wire::item_run_status status) {
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) {
        return;
    }
    this->params.send(key.first,
                      wire::item_run_updates{{make_update(key.second, *found->second, status)}});
    this->remove(key);
}

void run_worker::remove(const run_key& key) {
    const auto found = this->runs.find(key);
    if (found == this->runs.end()) {
        return;
    }
    found->second->run->stop();
    this->pending_deletion.push_back(std::move(found->second));
    this->runs.erase(found);
    this->cleanup_timer.arm_now();
}

void run_worker::link_lost(std::uint64_t link) {
    std::vector<run_key> lost;
    for (const auto& [key, active] : this->runs) {
        if (key.first == link) {
            lost.push_back(key);
        }
    }
    for (const run_key& key : lost) {
        this->remove(key);
    }
}

void run_worker::report_progress() {
    std::map<std::uint64_t, wire::item_run_updates> updates;
    for (const auto& [key, active] : this->runs) {
        if (active->text.last_event > active->reported_event) {
            updates[key.first].updates.push_back(
                make_update(key.second, *active, wire::item_run_status::running));
        }
    }
    for (const auto& [link, message] : updates) {
        this->params.send(link, message);
    }
    if (!this->runs.empty()) {
        this->report_timer.arm(this->params.time->now() + report_interval);
    }
}

} // namespace kingcupcart::store
