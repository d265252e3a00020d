// Tail latency of short work with the dispatcher and with baseline policies, simulated in virtual
// time. The exit status reports whether the dispatcher meets the limits below; since the same seed
// gives the same figures on every machine, CI can check them.
#include "model/baseline_policy.h"
#include "model/dispatcher_policy.h"
#include "model/first_come_picker.h"
#include "model/random_picker.h"
#include "model/request_simulation.h"
#include "model/round_robin_picker.h"
#include "model/two_choices_picker.h"

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::model;

namespace {

/// Limit of the p99 of short work beside long drafts, relative to that of the same short work
/// alone.
constexpr double max_blocking_ratio = 1.2;
/// Limit of the p99 with a fifth of the targets slowed by a factor of ten, relative to that with
/// none slowed.
constexpr double max_slowdown_ratio = 1.5;
constexpr double tail_quantile = 0.99;

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// p99 of short work in milliseconds, and figures of the same runs.
struct tail_figures {
    /// Without long work.
    double alone = 0;
    /// With long work.
    double mixed = 0;
    /// With long work and slowed targets.
    double slowed = 0;
    double long_median_s = 0;
    /// Attempts beyond one for each request, as a fraction of the requests, with slowed targets.
    double extra_attempts = 0;

    [[nodiscard]] double blocking_ratio() const { return this->mixed / this->alone; }
    [[nodiscard]] double slowdown_ratio() const { return this->slowed / this->mixed; }
};

template <request_policy Policy>
measurements simulate(const scenario& plan) {
    return request_simulation<Policy>(plan).run();
}

template <request_policy Policy>
tail_figures measure(const scenario& plan) {
    scenario alone_plan = plan;
    alone_plan.long_work.requests_per_second = 0;
    scenario slowed_plan = plan;
    slowed_plan.slowed_fraction = 0.2;
    const measurements mixed_result = simulate<Policy>(plan);
    const measurements slowed_result = simulate<Policy>(slowed_plan);
    tail_figures figures;
    figures.alone = milliseconds(
        measurements::quantile(simulate<Policy>(alone_plan).short_latencies, tail_quantile));
    figures.mixed =
        milliseconds(measurements::quantile(mixed_result.short_latencies, tail_quantile));
    figures.slowed =
        milliseconds(measurements::quantile(slowed_result.short_latencies, tail_quantile));
    figures.long_median_s =
        milliseconds(measurements::quantile(mixed_result.long_latencies, 0.5)) / 1000;
    figures.extra_attempts =
        static_cast<double>(slowed_result.attempts) / static_cast<double>(slowed_result.requests) -
        1;
    return figures;
}

void print(const scenario& plan, const std::string& policy, const tail_figures& figures) {
    std::printf("%-8s %5llu %-16s %9.0f %9.0f %9.2f %9.0f %9.2f %9.1f %8.1f%%\n", plan.name.c_str(),
                static_cast<unsigned long long>(plan.seed), policy.c_str(), figures.alone,
                figures.mixed, figures.blocking_ratio(), figures.slowed, figures.slowdown_ratio(),
                figures.long_median_s, figures.extra_attempts * 100);
}

} // namespace

int main(int argc, char** argv) {
    // Without an argument: three seeds, and the baselines for the first one. `--judge`: three seeds
    // without the baselines. A number: that many seeds, without the baselines.
    const std::string argument = argc > 1 ? argv[1] : "";
    const bool with_baselines = argument.empty();
    const bool has_seed_count = !argument.empty() && argument != "--judge";
    const std::uint64_t seeds = has_seed_count ? std::stoull(argument) : 3;
    std::printf(
        "short work, p99 in ms; extra: attempts beyond one per request, with slowed targets\n");
    std::printf("%-8s %5s %-16s %9s %9s %9s %9s %9s %9s %9s\n", "case", "seed", "policy", "alone",
                "mixed", "ratio", "slowed", "ratio", "draft s", "extra");
    int passed = 0;
    int failed = 0;
    for (scenario plan : {salon_scenario(), planner_scenario()}) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            plan.seed = seed;
            const tail_figures figures = measure<dispatcher_policy>(plan);
            print(plan, "kingcupcart", figures);
            (figures.blocking_ratio() <= max_blocking_ratio ? passed : failed) += 1;
            (figures.slowdown_ratio() <= max_slowdown_ratio ? passed : failed) += 1;
            if (with_baselines && plan.seed == 1) {
                print(plan, "first come", measure<baseline_policy<first_come_picker>>(plan));
                print(plan, "random", measure<baseline_policy<random_picker>>(plan));
                print(plan, "round robin", measure<baseline_policy<round_robin_picker>>(plan));
                print(plan, "two choices", measure<baseline_policy<two_choices_picker>>(plan));
            }
        }
    }
    std::printf(
        "targets: mixed/alone at most %.1f, slowed/mixed at most %.1f\n%d passed, %d failed\n",
        max_blocking_ratio, max_slowdown_ratio, passed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
