#pragma once

#include "base/clock.h"

namespace kingcupcart::routing {

struct router_limits;

/// Speed of one target as observed by this instance, and the target's ejection state.
class target_health {
public:
    enum class state { in_use, ejected, probing };

    /// Adds an observed time to first output, as a multiple of the pool's median for that kind of
    /// work. `weight` is the observation's share of the moving average.
    void observe(double multiple, double weight);
    /// Resets the average, so that only new observations count for a target that returns to use.
    void reset_average();
    void eject(time_point now, const router_limits& limits);
    /// Whether the ejection time is over, so that a probe may start.
    [[nodiscard]] bool is_probe_due(time_point now) const;
    void start_probe();
    void pass_probe();

    [[nodiscard]] bool is_in_use() const { return this->current == state::in_use; }
    [[nodiscard]] bool is_probing() const { return this->current == state::probing; }
    /// Moving average of the observed multiples; 1 before the first observation.
    [[nodiscard]] double average() const { return this->average_multiple; }

private:
    state current = state::in_use;
    double average_multiple = 1;
    time_point ejected_until{};
    duration last_ejection{};
};

} // namespace kingcupcart::routing
