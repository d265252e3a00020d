#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "batch/scheduler_actions.h"
#include "batch/scheduler_limits.h"
#include "batch/scheduler_messages.h"
#include "permits/permit_account.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace kingcupcart::batch {

/// Decides which item starts on which engine and when, and on which engine the item of a slow or
/// failed run resumes.
///
/// A state machine that performs no I/O: `handle` consumes a message and returns actions. The
/// longest items start first, since a group is complete only when its last item is.
class item_scheduler {
public:
    /// Counts the runs that it starts in `permits`, which has to outlive the scheduler; null if no
    /// engine can be limited.
    explicit item_scheduler(scheduler_limits limits = {},
                            permits::permit_account* permits = nullptr);
    ~item_scheduler();
    item_scheduler(const item_scheduler&) = delete;
    item_scheduler& operator=(const item_scheduler&) = delete;

    [[nodiscard]] scheduler_actions handle(const scheduler_message& incoming, time_point now);
    /// When `timer_expired` is due next; empty if there are no items.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    [[nodiscard]] std::size_t waiting_count() const;
    [[nodiscard]] std::size_t running_count() const;
    /// Number of waiting items of the model's jobs.
    [[nodiscard]] std::size_t waiting_count(const model_name& model) const;

private:
    class state;
    std::unique_ptr<state> impl;
};

} // namespace kingcupcart::batch
