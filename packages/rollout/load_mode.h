#pragma once

namespace kingcupcart::rollout {

/// What an engine does with its running requests when it loads new weights.
enum class load_mode {
    /// Running requests finish before the engine loads the weights.
    wait,
    /// Running requests continue with the new weights.
    retain
};

} // namespace kingcupcart::rollout
