#pragma once

#include "base/ids.h"

namespace kingcupcart::membership {

/// The weights of one model that an engine has.
struct model_weights {
    model_name model;
    weight_version version;

    friend bool operator==(const model_weights&, const model_weights&) = default;
};

} // namespace kingcupcart::membership
