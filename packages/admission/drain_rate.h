#pragma once

#include "base/clock.h"

#include <cstddef>

namespace kingcupcart::admission {

/// Estimates how fast a queue drains, from the times at which requests leave it.
class drain_rate {
public:
    void observe_departure(time_point now);
    /// Expected wait of a request with `ahead` requests before it; zero while the rate is unknown.
    [[nodiscard]] duration expected_wait(std::size_t ahead) const;

private:
    bool has_departure = false;
    time_point last_departure{};
    duration mean_interval{};
};

} // namespace kingcupcart::admission
