#pragma once

#include "base/clock.h"

namespace kingcupcart::routing {

struct router_limits;

/// What this instance has seen of one target's speed, and whether it is taken out for it.
class target_health {
public:
    enum class state { in_use, ejected, on_trial };

    /// Adds one observed time to first output.
    void observe(duration waited, double weight);
    /// Forgets the average, so that a returned target is judged by new observations only.
    void forget();
    void eject(time_point now, const router_limits& limits);
    /// A trial may start once the time out is over.
    [[nodiscard]] bool is_trial_due(time_point now) const;
    void start_trial();
    void pass_trial();

    [[nodiscard]] bool is_in_use() const { return this->current == state::in_use; }
    [[nodiscard]] bool is_on_trial() const { return this->current == state::on_trial; }
    [[nodiscard]] bool has_average() const { return this->observations > 0; }
    /// Moving average of the time to first output; zero before the first observation.
    [[nodiscard]] duration average() const { return this->average_wait; }

private:
    state current = state::in_use;
    int observations = 0;
    duration average_wait{};
    time_point ejected_until{};
    duration last_ejection{};
};

} // namespace kingcupcart::routing
