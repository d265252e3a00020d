#pragma once

#include "base/clock.h"

#include <cstddef>
#include <optional>

namespace kingcupcart::admission {

/// Estimates how long the runs of a kind of work take at most: the longest of the recent ones. A
/// mean with its deviation would not cover a few long runs among many short ones.
class duration_estimate {
public:
    void observe(duration taken);
    /// Empty until a few runs were observed.
    [[nodiscard]] std::optional<duration> upper_bound() const;

private:
    std::size_t observed = 0;
    /// The longest run of the current window, and of the one before it.
    duration longest{};
    duration previous_longest{};
};

} // namespace kingcupcart::admission
