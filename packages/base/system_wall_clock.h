#pragma once

#include "base/wall_clock.h"

namespace kingcupcart {

/// The machine's wall clock.
class system_wall_clock final : public wall_clock {
public:
    [[nodiscard]] wall_time now() const override {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

} // namespace kingcupcart
