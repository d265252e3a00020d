#include "batch/tests/trained_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seeds = 4;

struct totals {
    int groups_in_time = 0;
    int groups = 0;
    int first_runs = 0;
    int runs = 0;
    std::map<std::string, trainer_figures> by_model;

    [[nodiscard]] duration first_wait_of(const std::string& model) const {
        const trainer_figures& figure = this->by_model.at(model);
        return figure.first_wait / std::max(1, figure.first_runs);
    }
};

/// Plays several seeds and prints and returns the sums.
totals play(const std::string& title, fleet_options options) {
    const std::vector<trainer_load> trainers{{"subject", 6, 16, 16, 500ms},
                                             {"authority", 9, 16, 21, 1s},
                                             {"series", 19, 8, 21, 1s},
                                             {"shelfmark", 7, 16, 14, 500ms}};
    std::map<std::string, trainer_figures> sums;
    int reassignments = 0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        trained_fleet fleet(trainers, options);
        for (const auto& [model, figure] : fleet.run()) {
            sums[model].add(figure);
        }
        reassignments += fleet.reassignments();
    }
    totals all;
    for (const auto& [model, sum] : sums) {
        all.groups_in_time += sum.groups_in_time;
        all.first_runs += sum.first_runs;
        all.runs += sum.runs;
        all.groups += sum.groups;
        MESSAGE(title, ": ", model, " groups in time ", sum.groups_in_time, " of ", sum.groups,
                ", mean first wait ms ", sum.first_wait / std::max(1, sum.first_runs) / 1ms,
                ", over 0.3 s ", sum.late_first_runs, " of ", sum.items, ", runs ", sum.runs,
                ", most of an item ", sum.most_runs);
    }
    MESSAGE(title, ": all groups in time ", all.groups_in_time, " of ", all.groups,
            ", runs of an item ", static_cast<double>(all.runs) / all.first_runs,
            ", engines reassigned ", reassignments);
    all.by_model = sums;
    return all;
}

} // namespace

// Guards against late steps while slots are free: items waited for weights, or for the few engines
// of a model with much work.
SCENARIO("the steps of four trainers share 48 engines") {
    fleet_options options;
    options.has_bursts = true;
    for (const int max_moves : {0, 6}) {
        options.scheduling.max_moves = max_moves;
        play("moves of an item up to " + std::to_string(max_moves) + ", bursts", options);
    }
    options.scheduling = {};
    for (const bool has_bursts : {false, true}) {
        const std::string noise = has_bursts ? ", bursts" : "";
        options.has_bursts = has_bursts;
        options.reports_demand = false;
        const totals equal = play("equal shares" + noise, options);
        options.reports_demand = true;
        const totals by_demand = play("shares by demand" + noise, options);
        // Numbers of groups in time differ by 1% between any two sets of seeds, and so by as much
        // as between the policies; the waits differ by a third.
        for (const char* model : {"authority", "series"}) {
            CHECK(by_demand.first_wait_of(model) < equal.first_wait_of(model) * 9 / 10);
        }
        if (!has_bursts) {
            // The pause of a load is no reason to move.
            CHECK(by_demand.runs == by_demand.first_runs);
        }
    }
}
