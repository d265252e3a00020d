#pragma once

#include "model/baseline_target.h"

#include <algorithm>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// First come, first served: picks the least loaded target. The request waits in the policy's queue
/// while all targets have all their slots in use.
struct first_come_picker {
    baseline_target* operator()(const std::vector<baseline_target*>& targets,
                                std::mt19937_64& /*random*/) {
        baseline_target* least_loaded =
            *std::min_element(targets.begin(), targets.end(),
                              [](const auto* a, const auto* b) { return a->running < b->running; });
        return least_loaded->running < least_loaded->slots ? least_loaded : nullptr;
    }
};

} // namespace kingcupcart::model
