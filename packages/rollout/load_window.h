#pragma once

#include "base/clock.h"
#include "rollout/planner_limits.h"

#include <cstddef>

namespace kingcupcart::rollout {

/// How many engines of a service may load weights at the same time. The load it answers: engines
/// share the weight store, so that with hundreds of concurrent loads none completes before the next
/// versions are published. Up to `planner_limits::min_parallel_loads` the number is a share of the
/// engines. Beyond, it grows while loads take as long as a single one, and shrinks when they take
/// longer.
class load_window {
public:
    /// Largest number of concurrent loads for a service with this number of engines.
    [[nodiscard]] std::size_t limit(std::size_t engines, const planner_limits& limits) const;
    /// A load has completed after `took`, beside others: `loading` in total.
    void load_completed(duration took, std::size_t loading, std::size_t engines,
                        const planner_limits& limits, time_point now);
    /// A load goes on after `took`.
    void load_continues(duration took, const planner_limits& limits, time_point now);

private:
    void shrink(const planner_limits& limits, time_point now);

    /// 0 until the first change.
    double size = 0;
    time_point shrunk_at{};
};

} // namespace kingcupcart::rollout
