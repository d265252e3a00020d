#pragma once

#include "model/baseline_target.h"

#include <cstddef>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// Picks the targets in turn.
struct round_robin_picker {
    std::size_t next = 0;

    baseline_target* operator()(const std::vector<baseline_target*>& targets,
                                std::mt19937_64& /*random*/) {
        return targets[this->next++ % targets.size()];
    }
};

} // namespace kingcupcart::model
