#pragma once

#include <chrono>

namespace kingcupcart {

/// Wall-clock time in milliseconds. It may jump, and differs between machines.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// A source of wall-clock time, for timestamps that other processes or people read.
class wall_clock {
public:
    virtual ~wall_clock() = default;
    wall_clock() = default;
    wall_clock(const wall_clock&) = delete;
    wall_clock& operator=(const wall_clock&) = delete;

    [[nodiscard]] virtual wall_time now() const = 0;
};

} // namespace kingcupcart
