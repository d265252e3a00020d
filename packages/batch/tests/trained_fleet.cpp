#include "batch/tests/trained_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace std::chrono_literals;

namespace kingcupcart::batch {

namespace {

constexpr duration tick = 5ms;
constexpr double event_milliseconds = 47.2;
/// One event is 86 steps of 0.00437 ms for each 1,000 tokens of context on the engine.
constexpr double milliseconds_per_context_token = 86 * 0.00437 / 1000;
constexpr std::int64_t tokens_per_event = 86;
constexpr std::int64_t prompt = 400;
constexpr duration due_time = 7500ms;

wall_time wall(time_point time) {
    return wall_time(std::chrono::duration_cast<wall_time::duration>(time.time_since_epoch()));
}

} // namespace

trained_fleet::trained_fleet(const std::vector<trainer_load>& trainers,
                             const fleet_options& options)
    : options(options),
      random(options.seed),
      scheduler(options.scheduling),
      planner(options.loading) {
    rollout::service_models service{backend_name("llm"), {}, rollout::load_mode::retain};
    for (const trainer_load& load : trainers) {
        service.models.emplace_back(load.model);
        this->trainers.push_back({load, 2, 0, {}, {}, {}});
    }
    this->plan(rollout::services_changed{{service}});
    for (int i = 0; i < options.engines; ++i) {
        fake_engine added;
        added.descriptor.id = target_id("e" + std::to_string(100 + i));
        added.descriptor.service = service.service;
        added.descriptor.slots = options.slots;
        added.descriptor.memory = tokens(38118);
        // As after an hour of equal shares: one model is recent, the others are old.
        const model_name& assigned =
            service.models[static_cast<std::size_t>(i) % service.models.size()];
        added.weights[assigned] = weight_version(2);
        added.descriptor.versions = added.weights;
        const target_id id = added.descriptor.id;
        this->engines.emplace(id, added);
        this->plan(rollout::engine_updated{{id, service.service, added.weights, false}, false});
        this->announce(added);
    }
    this->plan(rollout::authority_changed{true});
}

double trained_fleet::normal() {
    // Not std::normal_distribution, whose values differ between libraries.
    const auto uniform = [this] { return (this->random() + 1.0) / 4294967297.0; };
    return std::sqrt(-2 * std::log(uniform())) * std::cos(2 * 3.14159265358979 * uniform());
}

void trained_fleet::announce(const fake_engine& changed) {
    this->schedule(engine_updated{changed.descriptor, false});
}

void trained_fleet::schedule(const scheduler_message& message) {
    for (const scheduler_action& action : this->scheduler.handle(message, this->now)) {
        if (const auto* start = std::get_if<start_run>(&action)) {
            fake_item& item = this->items.at(start->item.value());
            const step_state& step = this->steps.at(item.step);
            trainer_figures& figure = this->figures[step.is_counted ? step.model : "starting"];
            ++figure.runs;
            figure.most_runs = std::max(figure.most_runs, ++item.runs);
            if (item.runs == 1) {
                const duration wait = this->now - step.submitted;
                ++figure.first_runs;
                figure.first_wait += wait;
                figure.late_first_runs += wait > 300ms ? 1 : 0;
            }
            if (start->resume_after == 0) {
                item.oldest = item.newest = weight_version();
            }
            this->engines.at(start->engine)
                .runs.push_back({start->run, start->item.value(), start->resume_after, -0.3});
            this->runs.emplace(start->run, start->engine);
        } else if (const auto* cancelled = std::get_if<cancel_run>(&action)) {
            auto& engine_runs = this->engines.at(this->runs.at(cancelled->run)).runs;
            std::erase_if(engine_runs,
                          [&](const fake_run& run) { return run.id == cancelled->run; });
        }
    }
}

void trained_fleet::plan(const rollout::planner_message& message) {
    for (const rollout::planner_action& action : this->planner.handle(message, this->now)) {
        if (const auto* load = std::get_if<rollout::send_load_order>(&action)) {
            fake_engine& target = this->engines.at(load->engine);
            const auto loading =
                std::count_if(this->engines.begin(), this->engines.end(),
                              [](const auto& entry) { return entry.second.is_loading; });
            target.loads = {load->model, load->version};
            target.is_loading = true;
            const double slowdown = std::max(1.0, static_cast<double>(loading + 1) / 10);
            target.loaded_at = this->now + std::chrono::duration_cast<duration>(900ms * slowdown);
            ++target.orders;
            this->plan(
                rollout::load_order_response{load->engine, rollout::load_order_result::accepted});
        } else if (const auto* request = std::get_if<rollout::request_report>(&action)) {
            const fake_engine& target = this->engines.at(request->engine);
            rollout::engine_report report{request->engine, target.orders, target.is_loading, {}};
            for (const auto& [model, version] : target.weights) {
                report.versions.push_back({model, version});
            }
            this->plan(report);
        } else if (const auto* changed = std::get_if<rollout::loading_changed>(&action)) {
            fake_engine& target = this->engines.at(changed->engine);
            target.descriptor.is_loading = changed->is_loading;
            this->announce(target);
        } else if (const auto* loaded = std::get_if<rollout::weights_loaded>(&action)) {
            fake_engine& target = this->engines.at(loaded->engine);
            target.descriptor.versions[loaded->model] = loaded->version;
            this->announce(target);
        } else if (std::holds_alternative<rollout::engine_reassigned>(action)) {
            ++this->reassigned;
        }
    }
}

void trained_fleet::complete(const std::string& item) {
    step_state& step = this->steps.at(this->items.at(item).step);
    if (--step.open_items.at(this->items.at(item).group) == 0) {
        ++step.complete_groups;
        this->figures[step.model].groups_in_time +=
            step.is_counted && this->now - step.submitted <= due_time ? 1 : 0;
    }
}

void trained_fleet::advance_engine(fake_engine& advanced) {
    if (advanced.is_loading) {
        if (this->now < advanced.loaded_at) {
            return;
        }
        advanced.is_loading = false;
        advanced.weights[advanced.loads.model] = advanced.loads.version;
    }
    std::int64_t context = 0;
    for (const fake_run& run : advanced.runs) {
        context += prompt + static_cast<std::int64_t>(run.events) * tokens_per_event;
    }
    const double slowness = this->now < advanced.slow_until ? 2.5 : 1;
    const double event_time = slowness * (event_milliseconds + milliseconds_per_context_token *
                                                                   static_cast<double>(context));
    const double step = std::chrono::duration<double, std::milli>(tick).count() / event_time;
    for (const fake_run& known : std::vector(advanced.runs)) {
        const auto found = std::find_if(advanced.runs.begin(), advanced.runs.end(),
                                        [&](const fake_run& run) { return run.id == known.id; });
        if (found == advanced.runs.end()) {
            continue;
        }
        found->progress += step;
        if (found->progress < 1) {
            continue;
        }
        found->progress -= 1;
        const std::size_t events = ++found->events;
        fake_item& item = this->items.at(known.item);
        const model_name model(this->steps.at(item.step).model);
        item.newest = advanced.weights.at(model);
        item.oldest = item.oldest.value() == 0 ? item.newest : std::min(item.oldest, item.newest);
        if (events >= item.length) {
            advanced.runs.erase(found);
            this->schedule(run_progressed{known.id, events, item.oldest, item.newest});
            this->schedule(run_completed{known.id});
            this->complete(known.item);
        } else {
            this->schedule(run_progressed{known.id, events, item.oldest, item.newest});
        }
    }
}

void trained_fleet::submit(trainer_state& trainer) {
    const std::string id = trainer.load.model + std::to_string(++trainer.submitted);
    job_opened opened;
    opened.job = job_id(id);
    opened.model = model_name(trainer.load.model);
    opened.oldest_version = weight_version(trainer.named - 1);
    opened.services = {backend_name("llm")};
    opened.is_resumable = true;
    opened.tokens_per_event = tokens(tokens_per_event);
    opened.groups_required = static_cast<std::size_t>(std::ceil(0.9 * trainer.load.groups));
    opened.give_up_at = this->now + 30s;
    step_state& step = this->steps[id];
    step.model = trainer.load.model;
    step.submitted = this->now;
    // The mean of a log-normal distribution with this deviation is 1.2 times its median.
    const double median = trainer.load.mean_events / 1.3;
    tokens output;
    for (int group = 0; group < trainer.load.groups; ++group) {
        const std::string group_name = id + "-" + std::to_string(group);
        step.open_items[group_name] = trainer.load.items_per_group;
        for (int i = 0; i < trainer.load.items_per_group; ++i) {
            const std::string name = group_name + "-" + std::to_string(i);
            double length = median * std::exp(0.6 * this->normal());
            length *= this->random() % 50 == 0 ? 4 : 1;
            length = std::clamp(length, 2.0, 150.0);
            const double hint = length * std::exp(0.5 * this->normal());
            this->items[name] = {static_cast<std::size_t>(length), id, group_name, 0, {}, {}};
            const tokens hinted(static_cast<std::int64_t>(hint * tokens_per_event));
            output = output + hinted;
            opened.items.push_back(
                {item_id(name), item_group_id(group_name), tokens(prompt), hinted});
        }
    }
    const duration elapsed = this->now - time_point(1000s);
    step.is_counted = elapsed >= this->options.starting_time &&
                      elapsed < this->options.starting_time + this->options.time;
    if (step.is_counted) {
        this->figures[trainer.load.model].groups += trainer.load.groups;
        this->figures[trainer.load.model].items += static_cast<int>(opened.items.size());
    }
    trainer.in_flight.push_back(id);
    trainer.last_submission = this->now;
    this->meter.step_submitted({opened.job, backend_name("llm"), opened.model, opened.items.size(),
                                output, wall(this->now), due_time});
    this->plan(rollout::required_version{opened.model, opened.oldest_version});
    this->schedule(opened);
}

void trained_fleet::advance_trainer(trainer_state& trainer) {
    for (const std::string& id : std::vector(trainer.in_flight)) {
        const step_state& step = this->steps.at(id);
        if (step.complete_groups >= std::ceil(0.9 * trainer.load.groups)) {
            std::erase(trainer.in_flight, id);
            trainer.named_at.push_back(this->now + trainer.load.training_time);
            this->meter.step_ended(job_id(id), wall(this->now));
            this->schedule(job_closed{job_id(id)});
        }
    }
    bool is_named = false;
    if (!trainer.named_at.empty() && trainer.named_at.front() <= this->now) {
        trainer.named_at.erase(trainer.named_at.begin());
        ++trainer.named;
        is_named = true;
        this->plan(
            rollout::model_version{model_name(trainer.load.model), weight_version(trainer.named)});
    }
    const bool is_due = trainer.submitted == 0 || this->now - trainer.last_submission >= 4s;
    if (trainer.in_flight.size() < 2 && (is_named || is_due)) {
        this->submit(trainer);
    }
}

void trained_fleet::report_demand() {
    rollout::demand_changed changed;
    for (const step_demand& measured : this->meter.demand(wall(this->now))) {
        changed.models.push_back(
            {measured.service, measured.model, measured.work, measured.largest_step_items});
    }
    this->plan(changed);
}

std::map<std::string, trainer_figures> trained_fleet::run() {
    const time_point start = this->now;
    for (trainer_state& trainer : this->trainers) {
        this->plan(
            rollout::model_version{model_name(trainer.load.model), weight_version(trainer.named)});
    }
    time_point next_burst = start;
    time_point next_report = start;
    std::size_t started = 0;
    while (this->now - start < this->options.starting_time + this->options.time + due_time) {
        this->now += tick;
        if (this->options.has_bursts && this->now >= next_burst) {
            next_burst = this->now + 600ms;
            for (auto& [id, slowed] : this->engines) {
                slowed.slow_until = this->random() % 6 == 0 ? this->now + 600ms : time_point{};
            }
        }
        for (auto& [id, advanced] : this->engines) {
            this->advance_engine(advanced);
        }
        // Trainers start one after the other.
        if (started < this->trainers.size() &&
            this->now - start >= 1s * static_cast<int>(started)) {
            ++started;
        }
        for (std::size_t i = 0; i < started; ++i) {
            this->advance_trainer(this->trainers[i]);
        }
        if (this->now >= next_report) {
            next_report = this->now + 250ms;
            if (this->options.reports_demand) {
                this->report_demand();
            }
            this->plan(rollout::timer_expired{});
        }
        const auto planned = this->planner.next_wakeup();
        if (planned && *planned <= this->now) {
            this->plan(rollout::timer_expired{});
        }
        const auto scheduled = this->scheduler.next_wakeup();
        if (scheduled && *scheduled <= this->now) {
            this->schedule(timer_expired{});
        }
    }
    this->figures.erase("starting");
    return this->figures;
}

} // namespace kingcupcart::batch
