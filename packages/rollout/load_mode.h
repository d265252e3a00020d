#pragma once

namespace kingcupcart::rollout {

/// What becomes of the requests that an engine runs when it takes new weights.
enum class load_mode {
    /// They finish first.
    wait,
    /// They go on under the new weights.
    retain
};

} // namespace kingcupcart::rollout
