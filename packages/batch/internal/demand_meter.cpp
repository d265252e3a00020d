#include "batch/demand_meter.h"

#include <algorithm>

namespace kingcupcart::batch {

namespace {

/// Steps of a model from which its rate is computed: about a minute of a trainer.
constexpr std::size_t max_recent_steps = 16;
/// Shorter intervals, such as those of a trainer that catches up, count as this long.
constexpr duration min_submission_interval = std::chrono::milliseconds(500);

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

duration demand_meter::usual_interval(const std::deque<known_step>& steps) {
    std::vector<duration> intervals;
    for (std::size_t i = 1; i < steps.size(); ++i) {
        const duration interval = steps[i].content.submitted - steps[i - 1].content.submitted;
        intervals.push_back(std::max(interval, min_submission_interval));
    }
    // The lower quartile.
    const auto usual = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 4);
    std::nth_element(intervals.begin(), usual, intervals.end());
    return *usual;
}

step_demand demand_meter::measure(const model_steps& steps, wall_time now) {
    step_demand measured;
    std::int64_t output = 0;
    for (const known_step& known : steps.recent) {
        const submitted_step& step = known.content;
        output += step.output.count();
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
    const double seconds = std::chrono::duration<double>(usual_interval(steps.recent)).count();
    measured.work = tokens_per_second(static_cast<double>(output) /
                                      static_cast<double>(steps.recent.size()) / seconds);
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
