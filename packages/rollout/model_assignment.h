#pragma once

#include "base/ids.h"
#include "rollout/planner_messages.h"

#include <cstddef>
#include <map>
#include <vector>

namespace kingcupcart::rollout {

/// A number of engines for each model of a service.
using model_counts = std::map<model_name, std::size_t>;

/// Divides the engines in proportion to the weights, which are above zero in total. Each model gets
/// at least one engine, and two if there are enough.
[[nodiscard]] model_counts divide_engines(std::size_t engines,
                                          const std::vector<model_name>& models,
                                          const std::map<model_name, double>& weights);

/// The weight of each model: the mean of its share of the work and its share of the items that need
/// a slot at once. By work alone, a model with many short items would have too few slots at the
/// start of its steps.
[[nodiscard]] std::map<model_name, double>
weights_of(const std::map<model_name, model_demand>& demand);

} // namespace kingcupcart::rollout
