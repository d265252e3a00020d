#include "rollout/model_assignment.h"

#include <algorithm>

namespace kingcupcart::rollout {

model_counts divide_engines(std::size_t engines, const std::vector<model_name>& models,
                            const std::map<model_name, double>& weights) {
    model_counts counts;
    if (models.empty()) {
        return counts;
    }
    // With a single engine, a model would have none whenever that engine loads weights.
    const std::size_t minimum = std::min<std::size_t>(2, engines / models.size());
    std::size_t remaining = engines;
    for (const model_name& model : models) {
        const std::size_t first = minimum == 0 ? std::min<std::size_t>(1, remaining) : minimum;
        counts[model] = first;
        remaining -= first;
    }
    const auto weight_of = [&](const model_name& model) {
        const auto found = weights.find(model);
        return found == weights.end() ? 0.0 : found->second;
    };
    // Each further engine goes to the model with the largest weight per engine.
    for (; remaining > 0; --remaining) {
        const model_name& neediest =
            *std::max_element(models.begin(), models.end(), [&](const auto& a, const auto& b) {
                return weight_of(a) / (static_cast<double>(counts[a]) + 0.5) <
                       weight_of(b) / (static_cast<double>(counts[b]) + 0.5);
            });
        ++counts[neediest];
    }
    return counts;
}

std::map<model_name, double> weights_of(const std::map<model_name, model_demand>& demand) {
    double work = 0;
    double items = 0;
    for (const auto& [model, needed] : demand) {
        work += needed.work.count();
        items += static_cast<double>(needed.largest_step_items);
    }
    std::map<model_name, double> weights;
    for (const auto& [model, needed] : demand) {
        const double work_share = needed.work.count() / work;
        const double item_share =
            items > 0 ? static_cast<double>(needed.largest_step_items) / items : work_share;
        weights[model] = (work_share + item_share) / 2;
    }
    return weights;
}

} // namespace kingcupcart::rollout
