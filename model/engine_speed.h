#pragma once

#include "base/clock.h"

#include <chrono>

namespace kingcupcart::model {

/// Speed of a simulated engine.
struct engine_speed {
    /// Duration of one decoding step with one stream in the batch.
    duration decode_step = std::chrono::milliseconds(12);
    /// Increase of the step's duration for each further stream, as a fraction of `decode_step`.
    double slowdown_per_stream = 0.02;
    /// Duration of the prefill of one prompt, which delays the whole batch.
    duration prefill_time = std::chrono::milliseconds(8);
    /// Number of streams; further requests wait.
    int max_batch_size = 32;
};

} // namespace kingcupcart::model
