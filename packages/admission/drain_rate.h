#pragma once

#include "base/clock.h"

#include <cstddef>

namespace kingcupcart::admission {

/// How fast a queue empties, from the moments at which requests left it.
class drain_rate {
public:
    void observe_departure(time_point now);
    /// Expected wait behind `ahead` requests; zero while the rate is unknown.
    [[nodiscard]] duration expected_wait(std::size_t ahead) const;

private:
    bool has_departure = false;
    time_point last{};
    duration interval{};
};

} // namespace kingcupcart::admission
