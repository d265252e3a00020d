#pragma once

#include "base/ids.h"
#include "base/units.h"

#include <cstddef>
#include <map>
#include <vector>

namespace kingcupcart::rollout {

/// A number of engines for each model of a service.
using model_counts = std::map<model_name, std::size_t>;

/// Divides the engines in proportion to the models' work, which is above zero in total. Each model
/// gets at least one engine, and two if there are enough.
[[nodiscard]] model_counts divide_engines(std::size_t engines,
                                          const std::vector<model_name>& models,
                                          const std::map<model_name, tokens_per_second>& work);

} // namespace kingcupcart::rollout
