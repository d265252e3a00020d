#pragma once

#include "model/baseline_target.h"

#include <cstddef>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// The one with fewer requests of two by chance.
struct two_choices_pick {
    baseline_target* operator()(const std::vector<baseline_target*>& targets,
                                std::mt19937_64& random) {
        baseline_target* one = targets[random() % targets.size()];
        baseline_target* other = targets[random() % targets.size()];
        return one->running <= other->running ? one : other;
    }
};

} // namespace kingcupcart::model
