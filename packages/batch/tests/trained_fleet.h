#pragma once

#include "batch/demand_meter.h"
#include "batch/item_scheduler.h"
#include "rollout/load_planner.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcupcart::batch {

/// A trainer and its steps.
struct trainer_load {
    std::string model;
    int groups = 0;
    int items_per_group = 0;
    double mean_events = 0;
    duration training_time{};
};

struct trainer_figures {
    int groups_in_time = 0;
    int groups = 0;
    int items = 0;
    int first_runs = 0;
    int late_first_runs = 0;
    duration first_wait{};
    int runs = 0;
    int most_runs = 0;

    void add(const trainer_figures& other) {
        this->groups_in_time += other.groups_in_time;
        this->groups += other.groups;
        this->items += other.items;
        this->first_runs += other.first_runs;
        this->late_first_runs += other.late_first_runs;
        this->first_wait += other.first_wait;
        this->runs += other.runs;
        this->most_runs = std::max(this->most_runs, other.most_runs);
    }
};

struct fleet_options {
    int engines = 48;
    int slots = 8;
    bool reports_demand = true;
    bool has_bursts = false;
    std::uint32_t seed = 1;
    /// Steps submitted in this time are counted, after the time of starting.
    duration time = std::chrono::seconds(40);
    duration starting_time = std::chrono::seconds(24);
    scheduler_limits scheduling;
    rollout::planner_limits loading;
};

/// An item scheduler and a load planner with fake engines and trainers under a manual clock.
class trained_fleet {
public:
    trained_fleet(const std::vector<trainer_load>& trainers, const fleet_options& options);
    /// Figures by model.
    std::map<std::string, trainer_figures> run();
    [[nodiscard]] int reassignments() const { return this->reassigned; }

private:
    struct fake_run {
        run_id id;
        std::string item;
        std::size_t events = 0;
        double progress = 0;
    };
    struct fake_engine {
        engine descriptor;
        std::vector<fake_run> runs;
        std::map<model_name, weight_version> weights;
        rollout::model_version loads;
        bool is_loading = false;
        time_point loaded_at{};
        time_point slow_until{};
        std::uint64_t orders = 0;
    };
    struct fake_item {
        std::size_t length = 0;
        std::string step;
        std::string group;
        int runs = 0;
        weight_version oldest;
        weight_version newest;
    };
    struct step_state {
        std::string model;
        time_point submitted{};
        std::map<std::string, int> open_items;
        int complete_groups = 0;
        bool is_counted = false;
    };
    struct trainer_state {
        trainer_load load;
        std::uint64_t named = 2;
        std::uint64_t submitted = 0;
        time_point last_submission{};
        std::vector<std::string> in_flight;
        std::vector<time_point> named_at;
    };

    void schedule(const scheduler_message& message);
    void plan(const rollout::planner_message& message);
    void announce(const fake_engine& changed);
    void advance_engines();
    void advance_engine(fake_engine& advanced);
    void advance_trainer(trainer_state& trainer);
    void submit(trainer_state& trainer);
    void complete(const std::string& item);
    void report_demand();
    double normal();

    fleet_options options;
    std::mt19937 random;
    time_point now{std::chrono::seconds(1000)};
    item_scheduler scheduler;
    rollout::load_planner planner;
    demand_meter meter;
    std::map<target_id, fake_engine> engines;
    std::unordered_map<run_id, target_id> runs;
    std::unordered_map<std::string, fake_item> items;
    std::map<std::string, step_state> steps;
    std::vector<trainer_state> trainers;
    std::map<std::string, trainer_figures> figures;
    int reassigned = 0;
};

} // namespace kingcupcart::batch
