#pragma once

#include "base/clock.h"

#include <chrono>

namespace kingcupcart::model {

/// Speed of a model engine.
struct engine_speed {
    /// One decoding step with one stream in the batch.
    duration step = std::chrono::milliseconds(12);
    /// Slow-down of a step per further stream, as a share.
    double slope = 0.02;
    /// Prefill of one prompt, which delays the whole batch.
    duration prefill = std::chrono::milliseconds(8);
    int batch_max = 32;
};

} // namespace kingcupcart::model
