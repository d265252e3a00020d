#include "batch/demand_meter.h"

#include <algorithm>

namespace kingcupcart::batch {

namespace {

/// Steps of a model from which its rate is computed: about a minute of a trainer.
constexpr std::size_t max_recent_steps = 16;
/// Shortest time over which steps are taken to have been submitted.
constexpr duration min_span = std::chrono::seconds(1);
/// A trainer whose steps are all late submits up to this many times fewer steps than planned.
constexpr double max_lag = 2;

} // namespace

void demand_meter::step_submitted(const submitted_step& step) {
    auto& recent = this->models[{step.service, step.model}].recent;
    const bool is_known = std::any_of(recent.begin(), recent.end(), [&](const known_step& known) {
        return known.content.job == step.job;
    });
    if (is_known) {
        return;
    }
    // A new leader opens the jobs that it finds in the order of their identifiers.
    const auto position = std::upper_bound(recent.begin(), recent.end(), step.submitted,
                                           [](wall_time submitted, const known_step& known) {
                                               return submitted < known.content.submitted;
                                           });
    recent.insert(position, {step, false});
    if (recent.size() > max_recent_steps) {
        recent.pop_front();
    }
    model_steps& steps = this->models[{step.service, step.model}];
    const auto in_flight = std::count_if(recent.begin(), recent.end(),
                                         [](const known_step& known) { return !known.is_ended; });
    steps.most_in_flight = std::max(steps.most_in_flight, static_cast<std::size_t>(in_flight));
}

void demand_meter::step_ended(const job_id& job, wall_time now) {
    for (auto& [key, steps] : this->models) {
        for (known_step& known : steps.recent) {
            if (known.content.job == job && !known.is_ended) {
                known.is_ended = true;
                steps.latest_duration = now - known.content.submitted;
            }
        }
    }
}

tokens_per_second demand_meter::work_of(const model_steps& steps) {
    double output = 0;
    duration objective{};
    for (const known_step& known : steps.recent) {
        output += static_cast<double>(known.content.output.count());
        objective = std::max(objective, known.content.completion_objective);
    }
    const duration span =
        steps.recent.back().content.submitted - steps.recent.front().content.submitted;
    const auto intervals = static_cast<double>(steps.recent.size() - 1);
    const double interval =
        std::chrono::duration<double>(std::max<duration>(span, min_span)).count() / intervals;
    const double mean_output = output / static_cast<double>(steps.recent.size());
    const double submitted_rate = mean_output / interval;
    if (objective == duration::zero()) {
        return tokens_per_second(submitted_rate);
    }
    const double objective_seconds = std::chrono::duration<double>(objective).count();
    const double rate_in_flight =
        mean_output * static_cast<double>(steps.most_in_flight) / objective_seconds;
    return tokens_per_second(std::min(rate_in_flight, max_lag * submitted_rate));
}

step_demand demand_meter::measure(const model_steps& steps, wall_time now) {
    step_demand measured;
    for (const known_step& known : steps.recent) {
        const submitted_step& step = known.content;
        measured.largest_step_items = std::max(measured.largest_step_items, step.items);
        if (known.is_ended) {
            continue;
        }
        ++measured.steps_in_flight;
        if (step.completion_objective > duration::zero()) {
            const duration expected =
                std::max<duration>(now - step.submitted, steps.latest_duration);
            measured.expected_lateness = std::max<duration>(measured.expected_lateness,
                                                            expected - step.completion_objective);
        }
    }
    measured.work = work_of(steps);
    return measured;
}

std::vector<step_demand> demand_meter::demand(wall_time now) const {
    std::vector<step_demand> result;
    for (const auto& [key, steps] : this->models) {
        if (steps.recent.size() < 2) {
            continue;
        }
        step_demand measured = measure(steps, now);
        measured.service = key.service;
        measured.model = key.model;
        result.push_back(std::move(measured));
    }
    return result;
}

} // namespace kingcupcart::batch
