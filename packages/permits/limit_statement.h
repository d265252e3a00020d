#pragma once

#include "base/units.h"

namespace kingcupcart::permits {

/// What a response of a target says about the rate of requests that the target takes from all
/// instances together.
struct limit_statement {
    enum class kind {
        /// The response says nothing on the matter, since the target did not write it for this
        /// request.
        unknown,
        /// The target names no limit.
        unlimited,
        limited,
        /// The limit can't be read.
        malformed
    };

    kind says = kind::unknown;
    /// Set if the statement is `limited`.
    requests_per_second rate;
};

} // namespace kingcupcart::permits
