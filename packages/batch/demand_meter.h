#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"
#include "base/wall_clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace kingcupcart::batch {

/// A training step that a trainer has submitted.
struct submitted_step {
    job_id job;
    backend_name service;
    model_name model;
    std::size_t items = 0;
    /// Output of all items together.
    tokens output;
    wall_time submitted{};
    /// Time after the submission within which the step should be complete; zero if unknown.
    duration completion_objective{};
};

/// What the recent steps of one model need of the engines of one service.
struct step_demand {
    backend_name service;
    model_name model;
    tokens_per_second work{0};
    std::size_t largest_step_items = 0;
    duration expected_lateness{};
    std::size_t steps_in_flight = 0;
};

/// Measures the work of each model's training steps.
///
/// The work is that of the steps that are in flight side by side over the time within which they
/// should be complete, bounded by a multiple of the rate at which they are submitted. That rate
/// alone would not do: a trainer that is late submits fewer steps, and should not lose engines for
/// that.
class demand_meter {
public:
    void step_submitted(const submitted_step& step);
    /// Does nothing for an unknown job.
    void step_ended(const job_id& job, wall_time now);
    /// Demand of the models of which at least two steps are known.
    [[nodiscard]] std::vector<step_demand> demand(wall_time now) const;

private:
    struct model_key {
        backend_name service;
        model_name model;

        friend auto operator<=>(const model_key&, const model_key&) = default;
    };
    struct known_step {
        submitted_step content;
        bool is_ended = false;
    };
    struct model_steps {
        /// By the time of submission.
        std::deque<known_step> recent;
        std::size_t most_in_flight = 0;
        /// Time from the submission to the end of the latest step that ended.
        duration latest_duration{};
    };

    [[nodiscard]] static step_demand measure(const model_steps& steps, wall_time now);
    [[nodiscard]] static tokens_per_second work_of(const model_steps& steps);

    std::map<model_key, model_steps> models;
};

} // namespace kingcupcart::batch
