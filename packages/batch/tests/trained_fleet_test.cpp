#include "batch/tests/trained_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seeds = 4;

/// Plays several seeds, prints the sums, and returns the groups in time of all trainers.
int play(const std::string& title, fleet_options options) {
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
    int in_time = 0;
    for (const auto& [model, sum] : sums) {
        in_time += sum.groups_in_time;
        MESSAGE(title, ": ", model, " groups in time ", sum.groups_in_time, " of ", sum.groups,
                ", mean first wait ms ", sum.first_wait / std::max(1, sum.first_runs) / 1ms,
                ", over 0.3 s ", sum.late_first_runs, " of ", sum.items, ", runs ", sum.runs,
                ", most of an item ", sum.most_runs);
    }
    MESSAGE(title, ": all groups in time ", in_time, ", engines reassigned ", reassignments);
    return in_time;
}

} // namespace

// Guards against late steps while slots are free: items waited for weights, or for the few engines
// of a model with much work.
SCENARIO("the steps of four trainers share 48 engines") {
    fleet_options options;
    for (const bool has_bursts : {false, true}) {
        const std::string noise = has_bursts ? ", bursts" : "";
        options.has_bursts = has_bursts;
        options.reports_demand = false;
        const int equal = play("equal shares" + noise, options);
        options.reports_demand = true;
        const int by_demand = play("shares by demand" + noise, options);
        CHECK(by_demand >= equal);
    }
}
