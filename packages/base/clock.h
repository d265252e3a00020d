#pragma once

#include <chrono>

namespace kingcupcart {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of monotonic time, passed to whatever needs the time.
class clock {
public:
    virtual ~clock() = default;
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;

    [[nodiscard]] virtual time_point now() const = 0;
};

} // namespace kingcupcart
