#pragma once

#include "model/baseline_target.h"

#include <concepts>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// Picks one of the targets; empty where the request has to wait.
template <typename Candidate>
concept target_picker = requires(Candidate pick, const std::vector<baseline_target*>& targets,
                                 std::mt19937_64& random) {
    { pick(targets, random) } -> std::same_as<baseline_target*>;
};

} // namespace kingcupcart::model
