// Sends the same load to a stand-in engine directly and through an entry instance, and prints what
// the instance adds. Wall-clock figures: printed, not judged.
#include "process/deployment.h"
#include "process_usage.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;

namespace {

struct load_result {
    double median_ms = 0;
    double p99_ms = 0;
    double per_second = 0;
};

load_result run_load(deployment& bench, const http::request& wanted, int connections, int count) {
    using clock = std::chrono::steady_clock;
    std::vector<double> times;
    struct slot {
        std::unique_ptr<caller> one;
        clock::time_point begin;
    };
    std::vector<slot> slots(static_cast<std::size_t>(connections));
    const auto start = clock::now();
    int started = 0;
    while (static_cast<int>(times.size()) < count) {
        for (slot& each : slots) {
            if (each.one && each.one->is_over) {
                const std::chrono::duration<double, std::milli> took = each.one->ended - each.begin;
                times.push_back(took.count());
                each.one.reset();
            }
            if (!each.one && started < count) {
                each.begin = clock::now();
                each.one = bench.begin(wanted);
                ++started;
            }
        }
        bench.run_once();
    }
    const std::chrono::duration<double> total = clock::now() - start;
    std::sort(times.begin(), times.end());
    load_result result;
    result.median_ms = times[times.size() / 2];
    result.p99_ms = times[times.size() * 99 / 100];
    result.per_second = count / total.count();
    return result;
}

} // namespace

int main() {
    deployment bench;
    auto& entry = bench.add_entry();
    auto& engine = bench.add_engine("g1", entry, {"--first-us", "0", "--slots", "256"});
    if (!bench.has_targets(entry, 1)) {
        return 1;
    }
    const std::string body = R"({"model":"stylist-lm","prompt":"veil","max_tokens":1})";
    const http::request through = post(entry, "/v1/completions", body);
    http::request direct = through;
    direct.url = "http://" + engine.value("address") + "/v1/completions";
    std::printf("%-12s %-8s %10s %10s %10s %14s\n", "connections", "way", "median ms", "p99 ms",
                "per s", "entry CPU us");
    for (const int connections : {1, 16}) {
        constexpr int warm_up = 200;
        constexpr int count = 4000;
        run_load(bench, direct, connections, warm_up);
        run_load(bench, through, connections, warm_up);
        const load_result plain = run_load(bench, direct, connections, count);
        const double before = processor_seconds(entry.id());
        const load_result routed = run_load(bench, through, connections, count);
        const double spent = (processor_seconds(entry.id()) - before) * 1e6 / count;
        std::printf("%-12d %-8s %10.3f %10.3f %10.0f\n", connections, "direct", plain.median_ms,
                    plain.p99_ms, plain.per_second);
        std::printf("%-12d %-8s %10.3f %10.3f %10.0f %14.0f\n", connections, "routed",
                    routed.median_ms, routed.p99_ms, routed.per_second, spent);
        std::printf("%-12d %-8s %10.3f\n", connections, "added",
                    routed.median_ms - plain.median_ms);
    }
    return 0;
}
