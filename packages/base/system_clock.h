#pragma once

#include "base/clock.h"

namespace kingcupcart {

/// The machine's monotonic clock.
class system_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace kingcupcart
