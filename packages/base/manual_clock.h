#pragma once

#include "base/clock.h"

namespace kingcupcart {

/// A clock that only its owner advances, for tests, benchmarks and models.
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return this->current; }

    void advance(duration step) { this->current += step; }
    void advance_to(time_point moment) { this->current = moment; }

private:
    time_point current{};
};

} // namespace kingcupcart
