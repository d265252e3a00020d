#pragma once

#include <chrono>

namespace kingcupcart {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A source of monotonic time. Code that needs the time receives a clock, so that tests control it.
class clock {
public:
    virtual ~clock() = default;
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;

    [[nodiscard]] virtual time_point now() const = 0;
};

} // namespace kingcupcart
