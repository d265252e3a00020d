#include "store/internal/item_runner.h"

#include "forwarding/response_observer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace kingcupcart::store {

namespace {

/// Queue limit of a job whose route sets none.
constexpr duration default_queue_limit = std::chrono::minutes(1);
/// Interval at which the engines' streams are read: slightly shorter than the usual time between
/// two events of one stream.
constexpr duration read_interval = std::chrono::milliseconds(25);
/// Runs sent in one event loop iteration. Each takes up to 1 ms on a small machine, and the
/// leader's heartbeats to the other stores have to go out in between.
constexpr int runs_sent_per_iteration = 8;

} // namespace

item_runner::item_runner(parameters arguments)
    : params(std::move(arguments)),
      scores({this->params.place, this->params.time, this->params.seed, this->params.protocol,
              this->params.fleet, this->params.state_machine, this->params.metrics,
              this->params.limits, this->params.on_result, this->params.budget}),
      scheduler({}, &this->params.fleet->limits().account()),
      client(*this->params.time, {this->params.limits, read_interval, this->params.budget}),
      remote({this->params.max_local_runs, this->params.send_to_store,
              [this](const batch::scheduler_message& message) { this->dispatch(message); }}),
      scheduler_timer([this] { this->dispatch(batch::timer_expired{}); }),
      send_timer([this] { this->send_unsent_runs(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {
    for (const membership::target_record& record : this->params.fleet->targets().records()) {
        this->dispatch(batch::engine_updated{this->engine_of(record), false});
    }
    for (const auto& [id, record] : this->params.state_machine->jobs()) {
        if (!record.is_ended && !record.is_complete()) {
            this->open(record);
        }
    }
}

item_runner::~item_runner() = default;

const routes::route* item_runner::route_of(const batch::job& job) const {
    const auto& table = this->params.fleet->routes();
    return table == nullptr ? nullptr : table->find(job.host, job.path);
}

batch::engine item_runner::engine_of(const membership::target_record& record) const {
    batch::engine engine;
    engine.id = record.id;
    engine.service = record.backend;
    engine.software = record.software;
    engine.slots = record.slots;
    engine.is_leaving = record.leaving;
    engine.is_loading = record.loading;
    for (const membership::model_weights& weights : record.weights) {
        engine.versions.insert_or_assign(weights.model, weights.version);
    }
    const auto& table = this->params.fleet->routes();
    const routes::service* service =
        table == nullptr ? nullptr : table->find_service(record.backend);
    if (service != nullptr && service->engine) {
        engine.memory = service->engine->memory;
    }
    return engine;
}

batch::job_opened item_runner::describe(const batch::job_record& record,
                                        const routes::route* route) const {
    const batch::job& job = record.content;
    batch::job_opened opened;
    opened.job = job.id;
    opened.model = job.model;
    opened.oldest_version = job.oldest_version;
    opened.needs_single_version = job.needs_single_version;
    opened.groups_required = job.groups_required;
    opened.account = job.account;
    duration limit = default_queue_limit;
    if (route != nullptr) {
        for (const routes::service_share& share : route->shares) {
            opened.services.push_back(share.service);
            const routes::service* service =
                this->params.fleet->routes()->find_service(share.service);
            if (service != nullptr && service->engine) {
                opened.tokens_per_event = service->engine->tokens_per_event;
            }
        }
        opened.max_failures = route->max_attempts;
        opened.is_resumable = route->is_resumable;
        limit =
            route->max_queue_time > duration::zero() ? route->max_queue_time : default_queue_limit;
        opened.priority = this->params.fleet->routes()->priority_of(*route, job.account);
    }
    const duration age = this->params.wall->now() - job.submitted;
    if (route != nullptr && route->completion_objective > duration::zero()) {
        opened.due_at = this->params.time->now() + route->completion_objective - age;
    }
    opened.give_up_at = this->params.time->now() + limit - age;
    for (const batch::job_item& item : job.items) {
        if (!record.has_result(item.id)) {
            opened.items.push_back({item.id, item.group, item.prompt, item.output_hint});
        }
    }
    opened.groups_complete = record.complete_group_count();
    return opened;
}

void item_runner::open(const batch::job_record& record) {
    const routes::route* route = this->route_of(record.content);
    if (route == nullptr) {
        this->jobs_without_route.push_back(record.content.id);
    }
    this->measure_step(record, route);
    batch::job_opened opened = this->describe(record, route);
    const std::vector<item_id> resumed = this->scores.resume(record);
    // With thousands of items, a search through a list for each would hold up the leader's start.
    const std::unordered_set<item_id> unscored(resumed.begin(), resumed.end());
    std::erase_if(opened.items,
                  [&](const batch::pending_item& item) { return unscored.contains(item.id); });
    const auto hinted = std::count_if(opened.items.begin(), opened.items.end(),
                                      [](const auto& item) { return item.output.count() > 0; });
    spdlog::info("job opened job={} model={} oldest={} items={} open={} hinted={} route={}",
                 record.content.id.value(), record.content.model.value(),
                 record.content.oldest_version.value(), record.content.items.size(),
                 opened.items.size(), hinted, route == nullptr ? "none" : route->name.value());
    this->dispatch(opened);
}

void item_runner::measure_step(const batch::job_record& record, const routes::route* route) {
    const batch::job& job = record.content;
    if (job.model.value().empty() || route == nullptr || route->shares.empty()) {
        return;
    }
    std::int64_t output = 0;
    for (const batch::job_item& item : job.items) {
        output += (item.output_hint.count() > 0 ? item.output_hint : item.max_output).count();
    }
    std::uint64_t total_weight = 0;
    for (const routes::service_share& share : route->shares) {
        total_weight += share.weight;
    }
    for (const routes::service_share& share : route->shares) {
        const double part = total_weight == 0 ? 0.0
                                              : static_cast<double>(share.weight) /
                                                    static_cast<double>(total_weight);
        this->meter.step_submitted(
            {job.id, share.service, job.model, job.items.size(),
             tokens(static_cast<std::int64_t>(static_cast<double>(output) * part)), job.submitted,
             route->completion_objective});
    }
}

void item_runner::close(const job_id& job) {
    this->meter.step_ended(job, this->params.wall->now());
    this->dispatch(batch::job_closed{job});
    this->scores.close(job);
}

void item_runner::record_results(const batch::append_results& recorded) {
    batch::results_recorded message{recorded.job, {}};
    for (const batch::item_result& result : recorded.results) {
        message.items.push_back(result.item);
    }
    const std::size_t unfinished = this->running_count() + this->waiting_count();
    this->dispatch(message);
    const std::size_t remaining = this->running_count() + this->waiting_count();
    if (remaining < unfinished) {
        spdlog::info("items have results of an earlier leader job={} items={}",
                     recorded.job.value(), unfinished - remaining);
    }
}

void item_runner::target_changed(const membership::directory_change& change) {
    this->scores.target_changed(change);
    if (change.event == membership::directory_event::removed) {
        this->dispatch(batch::engine_removed{change.record.id});
    } else {
        this->dispatch(
            batch::engine_updated{this->engine_of(change.record),
                                  change.event == membership::directory_event::restarted});
    }
}

void item_runner::permits_changed(const target_id& target) {
    this->scores.permits_changed(target);
    this->dispatch(batch::permits_updated{});
}

void item_runner::routes_changed() {
    this->scores.routes_changed();
    for (const membership::target_record& record : this->params.fleet->targets().records()) {
        this->dispatch(batch::engine_updated{this->engine_of(record), false});
    }
    const std::vector<job_id> without_route = std::exchange(this->jobs_without_route, {});
    for (const auto& [id, record] : this->params.state_machine->jobs()) {
        if (record.is_ended || record.is_complete()) {
            continue;
        }
        const routes::route* route = this->route_of(record.content);
        if (std::find(without_route.begin(), without_route.end(), id) != without_route.end()) {
            this->open(record);
        } else {
            this->dispatch(batch::job_services_changed{id, this->describe(record, route).services});
        }
    }
}

void item_runner::dispatch(const batch::scheduler_message& message) {
    this->inbox.push_back(message);
    if (!this->is_processing) {
        this->process_inbox();
    }
}

void item_runner::process_inbox() {
    this->is_processing = true;
    while (!this->inbox.empty()) {
        const batch::scheduler_message message = std::move(this->inbox.front());
        this->inbox.pop_front();
        for (const batch::scheduler_action& action :
             this->scheduler.handle(message, this->params.time->now())) {
            this->execute(action);
        }
        if (const auto* completed = std::get_if<batch::run_completed>(&message)) {
            this->remove_run(completed->run);
        } else if (const auto* failed = std::get_if<batch::run_failed>(&message)) {
            this->remove_run(failed->run);
        }
    }
    this->is_processing = false;
    this->params.fleet->limits().update_demands();
    if (const auto next = this->scheduler.next_wakeup()) {
        this->scheduler_timer.arm(*next);
    }
}

void item_runner::execute(const batch::scheduler_action& action) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, action);
}

void item_runner::on(const batch::start_run& action) {
    this->unsent_runs.push_back(action);
    this->send_timer.arm_now();
}

void item_runner::send_unsent_runs() {
    for (int i = 0; i < runs_sent_per_iteration && !this->unsent_runs.empty(); ++i) {
        const batch::start_run next = std::move(this->unsent_runs.front());
        this->unsent_runs.pop_front();
        this->send(next);
    }
    if (!this->unsent_runs.empty()) {
        this->send_timer.arm_now();
    }
}

void item_runner::send(const batch::start_run& action) {
    const batch::job_record* record = this->params.state_machine->find(action.job);
    const batch::job_item* item = record == nullptr ? nullptr : record->find_item(action.item);
    const membership::target_record* target = this->params.fleet->targets().find(action.engine);
    if (item == nullptr || record->is_ended || target == nullptr || target->leaving) {
        this->dispatch(batch::run_failed{action.run, batch::run_failure::declined});
        return;
    }
    spdlog::info("run started item={} job={} engine={} software={} cause={} resume_after={} "
                 "running={} slowness={:.2f} expected={}",
                 action.item.value(), action.job.value(), action.engine.value(),
                 target->software.value(), batch::to_string(action.cause), action.resume_after,
                 action.running, action.slowness, action.expected_output);
    this->params.metrics->count("runs_started_total");
    partial_text& text = this->partial_texts[action.item];
    if (action.resume_after == 0) {
        text = partial_text{};
    }
    wire::run_item_request request;
    request.run = action.run;
    request.job = action.job;
    request.host = record->content.host;
    request.engine = action.engine;
    request.resume_after = action.resume_after;
    request.oldest_version = record->content.oldest_version;
    request.needs_versions = !record->content.model.value().empty();
    request.item = *item;
    if (!this->remote.start(request, target->place, text)) {
        this->run_locally(action, request, *target, text);
    }
    this->dispatch(batch::run_sent{action.run});
}

void item_runner::run_locally(const batch::start_run& action, const wire::run_item_request& request,
                              const membership::target_record& target, partial_text& text) {
    item_run::parameters arguments;
    arguments.action = action;
    arguments.protocol = this->params.protocol;
    arguments.oldest_version = request.oldest_version;
    arguments.needs_versions = request.needs_versions;
    arguments.text = &text;
    arguments.head_received =
        [this, engine = target.id, incarnation = target.incarnation, item = action.item,
         sent_at = this->params.time->now()](const http::response_head& head) {
            forwarding::observe_response(*this->params.fleet, this->params.protocol,
                                         {engine, incarnation, item.value(), sent_at}, head);
        };
    auto run = std::make_unique<item_run>(
        arguments, [this](const batch::scheduler_message& message) { this->dispatch(message); });
    item_run& added = *run;
    this->runs.emplace(action.run, std::move(run));
    added.start(this->client, this->params.protocol.run_item(
                                  {request.item, request.host, action.resume_after}, target));
}

void item_runner::remove_run(batch::run_id run) {
    std::erase_if(this->unsent_runs, [&](const auto& action) { return action.run == run; });
    this->remote.cancel(run);
    const auto found = this->runs.find(run);
    if (found != this->runs.end()) {
        found->second->stop();
        this->pending_deletion.push_back(std::move(found->second));
        this->runs.erase(found);
        this->cleanup_timer.arm_now();
    }
}

void item_runner::on(const batch::cancel_run& cancelled) {
    this->remove_run(cancelled.run);
}

void item_runner::on(const batch::item_completed& completed) {
    const auto text = this->partial_texts.find(completed.item);
    if (text == this->partial_texts.end()) {
        return;
    }
    batch::item_result result;
    result.item = completed.item;
    result.is_completed = true;
    result.text = std::move(text->second.text);
    result.versions.assign(text->second.versions.begin(), text->second.versions.end());
    this->partial_texts.erase(text);
    const batch::job_record* record = this->params.state_machine->find(completed.job);
    const batch::job_item* item = record == nullptr ? nullptr : record->find_item(completed.item);
    if (item != nullptr && item->scorer) {
        this->scores.add(completed.job, std::move(result), completed.rank);
        return;
    }
    this->params.metrics->count("items_completed_total");
    this->params.on_result(completed.job, std::move(result));
}

void item_runner::on(const batch::item_given_up& given_up) {
    spdlog::warn("item given up item={} job={} reason={}", given_up.item.value(),
                 given_up.job.value(), batch::to_string(given_up.reason));
    this->params.metrics->count("items_given_up_total");
    batch::item_result result;
    result.item = given_up.item;
    this->params.on_result(given_up.job, std::move(result));
}

void item_runner::on(const batch::discard_item_text& discarded) {
    this->partial_texts.erase(discarded.item);
}

void item_runner::on(const batch::item_restarted& restarted) {
    spdlog::info("item restarted item={} job={} software={} events={} tokens={} waited_ms={} "
                 "reason={}",
                 restarted.item.value(), restarted.job.value(), restarted.software.value(),
                 restarted.events, restarted.size.count(),
                 std::chrono::duration_cast<std::chrono::milliseconds>(restarted.waited).count(),
                 batch::to_string(restarted.reason));
    this->params.metrics->count("items_restarted_for_version_total");
    this->params.metrics->count("events_discarded_for_version_total",
                                static_cast<std::int64_t>(restarted.events));
    this->params.metrics->count("tokens_discarded_for_version_total", restarted.size.count());
}

} // namespace kingcupcart::store
