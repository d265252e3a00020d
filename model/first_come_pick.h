#pragma once

#include "model/baseline_target.h"

#include <algorithm>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// The least loaded target with room; the request waits in one queue where there is none.
struct first_come_pick {
    baseline_target* operator()(const std::vector<baseline_target*>& targets,
                                std::mt19937_64& /*random*/) {
        baseline_target* best =
            *std::min_element(targets.begin(), targets.end(),
                              [](const auto* a, const auto* b) { return a->running < b->running; });
        return best->running < best->slots ? best : nullptr;
    }
};

} // namespace kingcupcart::model
