#include "model/scenario.h"

namespace kingcupcart::model {

scenario salon_scenario() {
    scenario created;
    created.name = "salon";
    created.engines_per_region = 4;
    created.intra_region_delay = std::chrono::microseconds(500);
    created.short_work = {30, 16, 32};
    created.long_work = {26, 200, 600, 128};
    return created;
}

scenario planner_scenario() {
    scenario created;
    created.name = "planner";
    created.engines_per_region = 3;
    created.intra_region_delay = std::chrono::microseconds(1500);
    created.short_work = {15, 24, 48};
    created.long_work = {13, 300, 900, 128};
    return created;
}

} // namespace kingcupcart::model
