#pragma once

#include "model/baseline_target.h"

#include <concepts>
#include <random>
#include <vector>

namespace kingcupcart::model {

/// Picks the target of a request; returns a null pointer if the request has to wait.
template <typename Candidate>
concept target_picker = requires(Candidate picker, const std::vector<baseline_target*>& targets,
                                 std::mt19937_64& random) {
    { picker(targets, random) } -> std::same_as<baseline_target*>;
};

} // namespace kingcupcart::model
