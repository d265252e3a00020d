#include "store/internal/item_runner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::store {

namespace {

/// Limit of a job whose route names none.
constexpr duration queue_limit_default = std::chrono::minutes(1);
/// How often the engines' streams are read: somewhat oftener than an event comes on one of them.
constexpr duration read_interval = std::chrono::milliseconds(25);
/// Runs sent in one turn of the loop. Each takes up to a millisecond of a small machine, and in
/// between the other stores must hear that this one lives.
constexpr int sent_in_a_turn = 8;

} // namespace

item_runner::item_runner(parameters arguments)
    : params(std::move(arguments)),
      client(read_interval),
      timer([this] { this->notify(batch::timer_expired{}); }),
      sender([this] { this->send_some(); }),
      cleanup_timer([this] { this->finished.clear(); }) {
    for (const membership::target_record& record : this->params.fleet->targets().records()) {
        this->notify(batch::engine_changed{this->engine_of(record), false});
    }
    for (const auto& [id, record] : this->params.book->jobs()) {
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
    batch::engine made;
    made.id = record.id;
    made.service = record.backend;
    made.slots = record.slots;
    made.is_leaving = record.leaving;
    made.is_loading = record.loading;
    for (const membership::model_weights& one : record.weights) {
        made.versions.insert_or_assign(one.model, one.version);
    }
    const auto& table = this->params.fleet->routes();
    const routes::service* service =
        table == nullptr ? nullptr : table->find_service(record.backend);
    if (service != nullptr && service->engine) {
        made.memory = service->engine->memory;
    }
    return made;
}

batch::job_opened item_runner::describe(const batch::job_record& record,
                                        const routes::route* route) const {
    const batch::job& job = record.content;
    batch::job_opened opened;
    opened.job = job.id;
    opened.model = job.model;
    opened.oldest_version = job.oldest_version;
    opened.needs_single_version = job.needs_single_version;
    opened.groups_wanted = job.groups_wanted;
    duration limit = queue_limit_default;
    if (route != nullptr) {
        for (const routes::service_share& share : route->shares) {
            opened.services.push_back(share.service);
            const routes::service* service =
                this->params.fleet->routes()->find_service(share.service);
            if (service != nullptr && service->engine) {
                opened.tokens_per_event = service->engine->tokens_per_event;
            }
        }
        opened.failures_max = route->attempts_max;
        opened.is_resumable = route->is_resumable;
        limit = route->queue_limit > duration::zero() ? route->queue_limit : queue_limit_default;
    }
    const duration age = this->params.wall->now() - job.submitted;
    opened.give_up_at = this->params.time->now() + limit - age;
    for (const batch::job_item& item : job.items) {
        if (!record.is_listed(item.id)) {
            opened.items.push_back({item.id, item.group, item.prompt, item.output_hint});
        }
    }
    return opened;
}

void item_runner::open(const batch::job_record& record) {
    const routes::route* route = this->route_of(record.content);
    if (route == nullptr) {
        this->unrouted.push_back(record.content.id);
    }
    const batch::job_opened opened = this->describe(record, route);
    const auto hinted = std::count_if(opened.items.begin(), opened.items.end(),
                                      [](const auto& item) { return item.output.count() > 0; });
    spdlog::info("job opened job={} model={} oldest={} items={} open={} hinted={} route={}",
                 record.content.id.value(), record.content.model.value(),
                 record.content.oldest_version.value(), record.content.items.size(),
                 opened.items.size(), hinted, route == nullptr ? "none" : route->name.value());
    this->notify(opened);
}

void item_runner::close(const job_id& job) {
    this->notify(batch::job_closed{job});
}

void item_runner::target_changed(const membership::directory_change& change) {
    if (change.event == membership::directory_event::removed) {
        this->notify(batch::engine_gone{change.record.id});
    } else {
        this->notify(batch::engine_changed{this->engine_of(change.record),
                                           change.event == membership::directory_event::restarted});
    }
}

void item_runner::routes_changed() {
    for (const membership::target_record& record : this->params.fleet->targets().records()) {
        this->notify(batch::engine_changed{this->engine_of(record), false});
    }
    const std::vector<job_id> without_route = std::exchange(this->unrouted, {});
    for (const auto& [id, record] : this->params.book->jobs()) {
        if (record.is_ended || record.is_complete()) {
            continue;
        }
        const routes::route* route = this->route_of(record.content);
        if (std::find(without_route.begin(), without_route.end(), id) != without_route.end()) {
            this->open(record);
        } else {
            this->notify(batch::job_moved{id, this->describe(record, route).services});
        }
    }
}

void item_runner::notify(const batch::scheduler_message& said) {
    this->inbox.push_back(said);
    if (!this->is_working) {
        this->process_inbox();
    }
}

void item_runner::process_inbox() {
    this->is_working = true;
    while (!this->inbox.empty()) {
        const batch::scheduler_message said = std::move(this->inbox.front());
        this->inbox.pop_front();
        for (const batch::scheduler_action& one :
             this->scheduler.handle(said, this->params.time->now())) {
            this->execute(one);
        }
        if (const auto* completed = std::get_if<batch::run_completed>(&said)) {
            this->retire(completed->run);
        } else if (const auto* failed = std::get_if<batch::run_failed>(&said)) {
            this->retire(failed->run);
        }
    }
    this->is_working = false;
    if (const auto next = this->scheduler.next_wakeup()) {
        this->timer.arm(*next);
    }
}

void item_runner::execute(const batch::scheduler_action& wanted) {
    std::visit([this](const auto& alternative) { this->on(alternative); }, wanted);
}

void item_runner::on(const batch::start_run& started) {
    this->unsent.push_back(started);
    this->sender.arm_now();
}

void item_runner::send_some() {
    for (int i = 0; i < sent_in_a_turn && !this->unsent.empty(); ++i) {
        const batch::start_run next = std::move(this->unsent.front());
        this->unsent.pop_front();
        this->send(next);
    }
    if (!this->unsent.empty()) {
        this->sender.arm_now();
    }
}

void item_runner::send(const batch::start_run& started) {
    const batch::job_record* record = this->params.book->find(started.job);
    const batch::job_item* item = record == nullptr ? nullptr : record->find_item(started.item);
    const membership::target_record* target = this->params.fleet->targets().find(started.engine);
    if (item == nullptr || record->is_ended || target == nullptr) {
        this->notify(batch::run_failed{started.run, batch::run_failure::declined});
        return;
    }
    spdlog::info("run item={} job={} engine={} cause={} resume_after={} running={} slowness={:.2f} "
                 "expected={}",
                 started.item.value(), started.job.value(), started.engine.value(),
                 batch::to_string(started.cause), started.resume_after, started.running,
                 started.slowness, started.expected_output);
    this->params.metrics->count("runs_started_total");
    partial_text& text = this->texts[started.item];
    if (started.resume_after == 0) {
        text = partial_text{};
    }
    item_run::parameters arguments;
    arguments.order = started;
    arguments.port = this->params.port;
    arguments.oldest_version = record->content.oldest_version;
    arguments.needs_versions = !record->content.model.value().empty();
    arguments.text = &text;
    auto run = std::make_unique<item_run>(
        arguments, [this](const batch::scheduler_message& said) { this->notify(said); });
    item_run& kept = *run;
    this->runs.emplace(started.run, std::move(run));
    kept.start(this->client, this->params.port.run_item(
                                 {*item, record->content.host, started.resume_after}, *target));
    this->notify(batch::run_sent{started.run});
}

void item_runner::retire(batch::run_id run) {
    std::erase_if(this->unsent, [&](const auto& one) { return one.run == run; });
    const auto found = this->runs.find(run);
    if (found != this->runs.end()) {
        found->second->stop();
        this->finished.push_back(std::move(found->second));
        this->runs.erase(found);
        this->cleanup_timer.arm_now();
    }
}

void item_runner::on(const batch::cancel_run& cancelled) {
    this->retire(cancelled.run);
}

void item_runner::on(const batch::item_completed& completed) {
    const auto text = this->texts.find(completed.item);
    if (text == this->texts.end()) {
        return;
    }
    batch::item_result result;
    result.item = completed.item;
    result.is_completed = true;
    result.text = std::move(text->second.text);
    result.versions.assign(text->second.versions.begin(), text->second.versions.end());
    this->texts.erase(text);
    this->params.metrics->count("items_completed_total");
    this->params.ended(completed.job, std::move(result));
}

void item_runner::on(const batch::item_given_up& lost) {
    spdlog::warn("item given up item={} job={} reason={}", lost.item.value(), lost.job.value(),
                 batch::to_string(lost.reason));
    this->params.metrics->count("items_given_up_total");
    batch::item_result result;
    result.item = lost.item;
    this->params.ended(lost.job, std::move(result));
}

void item_runner::on(const batch::item_dropped& dropped) {
    this->texts.erase(dropped.item);
}

} // namespace kingcupcart::store
