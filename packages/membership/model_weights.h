#pragma once

#include "base/ids.h"

#include <algorithm>
#include <vector>

namespace kingcupcart::membership {

/// The weights of one model that an engine has.
struct model_weights {
    model_name model;
    weight_version version;

    friend bool operator==(const model_weights&, const model_weights&) = default;
};

/// Takes over the version where it is newer than the one that is listed, or none is.
inline void raise_weights(std::vector<model_weights>& weights, const model_weights& seen) {
    for (model_weights& one : weights) {
        if (one.model == seen.model) {
            one.version = std::max(one.version, seen.version);
            return;
        }
    }
    weights.push_back(seen);
}

} // namespace kingcupcart::membership
