#include "rollout/model_assignment.h"

#include <algorithm>

namespace kingcupcart::rollout {

model_counts divide_engines(std::size_t engines, const std::vector<model_name>& models,
                            const std::map<model_name, tokens_per_second>& work) {
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
    const auto work_of = [&](const model_name& model) {
        const auto found = work.find(model);
        return found == work.end() ? 0.0 : found->second.count();
    };
    // Each further engine goes to the model with the most work per engine.
    for (; remaining > 0; --remaining) {
        const model_name& neediest =
            *std::max_element(models.begin(), models.end(), [&](const auto& a, const auto& b) {
                return work_of(a) / (static_cast<double>(counts[a]) + 0.5) <
                       work_of(b) / (static_cast<double>(counts[b]) + 0.5);
            });
        ++counts[neediest];
    }
    return counts;
}

} // namespace kingcupcart::rollout
