// What a store's processor spends on the items of batch jobs, for docs/CAPACITY.md: engines that
// stream at a steady pace, and two lengths of stream, so that items and events can be told apart.
// Processor time of the store's own process: printed, not judged.
#include "process/deployment.h"
#include "process/fleet.h"
#include "process_usage.h"

#include <cstdio>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;

namespace {

constexpr int engines = 24;
constexpr int slots = 8;
constexpr int jobs = 4;
constexpr int items_a_job = 96;
constexpr duration event_interval = std::chrono::milliseconds(40);

/// Milliseconds of the store's processor an item.
double play(int events) {
    deployment bench;
    fleet platform(bench, {engines, slots, events, event_interval});
    if (!platform.is_ready()) {
        std::printf("the fleet did not become ready\n");
        return 0;
    }
    const double before = processor_seconds(platform.store().id());
    std::vector<std::unique_ptr<caller>> submitted;
    for (int job = 0; job < jobs; ++job) {
        std::vector<std::string> items;
        items.reserve(items_a_job);
        for (int item = 0; item < items_a_job; ++item) {
            items.push_back("i" + std::to_string(job * items_a_job + item));
        }
        submitted.push_back(bench.begin(platform.submit("job" + std::to_string(job), items, 1)));
    }
    for (int job = 0; job < jobs; ++job) {
        platform.results("job" + std::to_string(job), items_a_job);
    }
    const double spent = processor_seconds(platform.store().id()) - before;
    return spent / (jobs * items_a_job) * 1000;
}

} // namespace

int main() {
    constexpr int few = 10;
    constexpr int many = 60;
    const double short_items = play(few);
    const double long_items = play(many);
    std::printf("%d engines, %d items at once\n", engines, engines * slots);
    std::printf("an item of %d events %.2f ms, of %d events %.2f ms: %.0f us an event\n", few,
                short_items, many, long_items, (long_items - short_items) / (many - few) * 1000);
    return 0;
}
