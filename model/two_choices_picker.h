#pragma once

#include "model/baseline_target.h"

#include <cstddef>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// Power of two choices: draws two targets at random and picks the one with fewer requests.
struct two_choices_picker {
    baseline_target* operator()(const std::vector<baseline_target*>& targets,
                                std::mt19937_64& random) {
        baseline_target* first = targets[random() % targets.size()];
        baseline_target* second = targets[random() % targets.size()];
        return first->running <= second->running ? first : second;
    }
};

} // namespace kingcupcart::model
