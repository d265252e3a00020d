// CPU time that a store spends on the items of batch jobs, for docs/CAPACITY.md. The engines stream
// at a steady pace. Streams of two lengths separate the cost of an item from that of an event. The
// figures are CPU times of the store's process, which depend on the machine, so the bench prints
// them and checks no limit.
#include "process/deployment.h"
#include "process/fleet.h"
#include "process_usage.h"

#include <cstdio>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;

namespace {

constexpr int engine_count = 24;
constexpr int slots_per_engine = 8;
constexpr int job_count = 4;
constexpr int items_per_job = 96;
constexpr duration event_interval = std::chrono::milliseconds(40);

/// CPU time of the store for each item, in milliseconds; zero if the fleet doesn't become ready.
double store_cpu_ms_per_item(int events_per_item) {
    deployment test_deployment;
    fleet test_fleet(test_deployment,
                     {engine_count, slots_per_engine, events_per_item, event_interval});
    if (!test_fleet.wait_until_ready()) {
        std::printf("the fleet did not become ready\n");
        return 0;
    }
    const double cpu_before = cpu_seconds(test_fleet.store().id());
    std::vector<std::unique_ptr<client_call>> submit_calls;
    for (int job = 0; job < job_count; ++job) {
        std::vector<std::string> items;
        items.reserve(items_per_job);
        for (int item = 0; item < items_per_job; ++item) {
            items.push_back("i" + std::to_string(job * items_per_job + item));
        }
        submit_calls.push_back(test_deployment.begin(
            test_fleet.submit_job_request("job" + std::to_string(job), items, 1)));
    }
    for (int job = 0; job < job_count; ++job) {
        test_fleet.results("job" + std::to_string(job), items_per_job);
    }
    const double cpu_used = cpu_seconds(test_fleet.store().id()) - cpu_before;
    return cpu_used / (job_count * items_per_job) * 1000;
}

} // namespace

int main() {
    constexpr int events_of_short_item = 10;
    constexpr int events_of_long_item = 60;
    const double ms_per_short_item = store_cpu_ms_per_item(events_of_short_item);
    const double ms_per_long_item = store_cpu_ms_per_item(events_of_long_item);
    std::printf("%d engines, %d items at once\n", engine_count, engine_count * slots_per_engine);
    std::printf("an item of %d events %.2f ms, of %d events %.2f ms: %.0f us an event\n",
                events_of_short_item, ms_per_short_item, events_of_long_item, ms_per_long_item,
                (ms_per_long_item - ms_per_short_item) /
                    (events_of_long_item - events_of_short_item) * 1000);
    return 0;
}
