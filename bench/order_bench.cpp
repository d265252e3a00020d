// Time of the item scheduler's decisions by the number of waiting items. Each completion frees a
// slot, for which a waiting item is chosen. The figures depend on the machine, so the bench prints
// them and checks no limit.
#include "batch/item_scheduler.h"

#include <chrono>
#include <cstdio>
#include <deque>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::batch;

namespace {

constexpr int engine_count = 48;
constexpr int slots_per_engine = 8;
constexpr int job_count = 8;
constexpr int items_per_group = 16;
constexpr int completions = 300;

using steady = std::chrono::steady_clock;

double microseconds_since(steady::time_point start) {
    return std::chrono::duration<double, std::micro>(steady::now() - start).count();
}

job_opened make_job(int number, int item_count, bool has_due_time, time_point now) {
    job_opened opened;
    opened.job = job_id("job" + std::to_string(number));
    opened.model = model_name("m" + std::to_string(number % 4));
    opened.services = {backend_name("llm")};
    opened.give_up_at = time_point::max();
    if (has_due_time) {
        opened.due_at = now + std::chrono::seconds(60 + number);
    }
    for (int i = 0; i < item_count; ++i) {
        const std::string group = opened.job.value() + "-" + std::to_string(i / items_per_group);
        opened.items.push_back({item_id(group + "-" + std::to_string(i)), item_group_id(group),
                                tokens(100), tokens(100 + (i * 37) % 900)});
    }
    return opened;
}

void measure(int waiting, bool has_due_time) {
    item_scheduler scheduler;
    time_point now(std::chrono::seconds(100));
    std::deque<run_id> running;
    const auto dispatch = [&](const scheduler_message& message) {
        for (const scheduler_action& action : scheduler.handle(message, now)) {
            if (const auto* start = std::get_if<start_run>(&action)) {
                running.push_back(start->run);
            }
        }
    };
    for (int i = 0; i < engine_count; ++i) {
        engine added;
        added.id = target_id("e" + std::to_string(i));
        added.service = backend_name("llm");
        added.slots = slots_per_engine;
        for (int model = 0; model < 4; ++model) {
            added.versions[model_name("m" + std::to_string(model))] = weight_version(1);
        }
        dispatch(engine_updated{added, false});
    }
    const int items_per_job = (waiting + engine_count * slots_per_engine) / job_count;
    const auto opening = steady::now();
    for (int job = 0; job < job_count; ++job) {
        dispatch(make_job(job, items_per_job, has_due_time, now));
    }
    const double open_us = microseconds_since(opening);
    const auto deciding = steady::now();
    for (int i = 0; i < completions; ++i) {
        const run_id run = running.front();
        running.pop_front();
        dispatch(run_completed{run});
    }
    const double decision_us = microseconds_since(deciding) / completions;
    const auto checking = steady::now();
    now += std::chrono::milliseconds(100);
    dispatch(timer_expired{});
    std::printf(
        "%5d waiting, %s: %6.1f us a decision, %7.0f us a check, %8.0f us to open %d jobs\n",
        waiting, has_due_time ? "due times" : "no due time", decision_us,
        microseconds_since(checking), open_us, job_count);
}

} // namespace

int main() {
    for (const bool has_due_time : {false, true}) {
        for (const int waiting : {600, 6000, 8000}) {
            measure(waiting, has_due_time);
        }
    }
    return 0;
}
