#include "batch/demand_meter.h"

#include <doctest/doctest.h>

#include <string>

using namespace kingcupcart;
using namespace kingcupcart::batch;
using namespace std::chrono_literals;

// Guards against a demand that shrinks as its trainer falls behind: the model would lose engines
// and fall behind further.
SCENARIO("the demand of a model is measured from its recent steps") {
    demand_meter meter;
    wall_time now{1000s};
    int steps = 0;
    const auto submit = [&](std::int64_t output) {
        meter.step_submitted({job_id("j" + std::to_string(++steps)), backend_name("llm"),
                              model_name("m"), 144, tokens(output), now, 7500ms});
    };
    GIVEN("a single step") {
        submit(40000);
        THEN("no interval is known, and so no demand") {
            CHECK(meter.demand(now).empty());
        }
    }
    GIVEN("steps every 4 s, two of them in flight") {
        for (int i = 0; i < 8; ++i) {
            submit(40000);
            now += 4s;
            if (i < 6) {
                meter.step_ended(job_id("j" + std::to_string(i + 1)), now);
            }
        }
        REQUIRE(meter.demand(now).size() == 1);
        THEN("the rate is that of two steps in the time of one") {
            const step_demand measured = meter.demand(now)[0];
            CHECK(measured.work.count() == doctest::Approx(2 * 40000 / 7.5));
            CHECK(measured.largest_step_items == 144);
            CHECK(measured.steps_in_flight == 2);
        }
        WHEN("the trainer falls behind and submits every 9 s") {
            for (int i = 0; i < 4; ++i) {
                meter.step_ended(job_id("j" + std::to_string(7 + i)), now);
                submit(40000);
                now += 9s;
            }
            THEN("the rate stays, and the lateness grows") {
                const step_demand measured = meter.demand(now)[0];
                CHECK(measured.work.count() == doctest::Approx(2 * 40000 / 7.5));
                CHECK(measured.expected_lateness >= 9s);
            }
        }
    }
}
