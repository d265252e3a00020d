#pragma once

#include "base/ids.h"

#include <algorithm>
#include <vector>

namespace kingcupcart::membership {

/// The version of one model's weights that an engine has loaded.
struct model_weights {
    model_name model;
    weight_version version;

    friend bool operator==(const model_weights&, const model_weights&) = default;
};

/// Adds the candidate to the list, or raises the listed version of its model to that of the
/// candidate.
inline void merge_weights(std::vector<model_weights>& weights, const model_weights& candidate) {
    for (model_weights& listed : weights) {
        if (listed.model == candidate.model) {
            listed.version = std::max(listed.version, candidate.version);
            return;
        }
    }
    weights.push_back(candidate);
}

} // namespace kingcupcart::membership
