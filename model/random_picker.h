#pragma once

#include "model/baseline_target.h"

#include <cstddef>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// Picks a target at random, with equal probabilities.
struct random_picker {
    baseline_target* operator()(const std::vector<baseline_target*>& targets,
                                std::mt19937_64& random) {
        return targets[random() % targets.size()];
    }
};

} // namespace kingcupcart::model
