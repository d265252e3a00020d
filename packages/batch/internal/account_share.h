#pragma once

#include <cstddef>

namespace kingcupcart::batch {

/// Slots that the runs of an account use.
struct account_share {
    std::size_t running = 0;
    /// An account of a lower weight counts as using more.
    double weight = 1;

    [[nodiscard]] double use() const { return static_cast<double>(this->running) / this->weight; }
};

} // namespace kingcupcart::batch
