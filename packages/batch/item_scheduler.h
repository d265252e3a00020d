#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "batch/scheduler_actions.h"
#include "batch/scheduler_limits.h"
#include "batch/scheduler_messages.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace kingcupcart::batch {

/// Decides which item starts on which engine and when, and where a slow or broken run goes on.
///
/// A plain state machine: messages in, actions out. The longest items start first, since a group is
/// only as early as its last item.
class item_scheduler {
public:
    explicit item_scheduler(scheduler_limits limits = {});
    ~item_scheduler();
    item_scheduler(const item_scheduler&) = delete;
    item_scheduler& operator=(const item_scheduler&) = delete;

    [[nodiscard]] scheduler_actions handle(const scheduler_message& incoming, time_point now);
    /// When `timer_expired` is due next; empty while there is nothing to look after.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    [[nodiscard]] std::size_t waiting_count() const;
    [[nodiscard]] std::size_t running_count() const;

private:
    class state;
    std::unique_ptr<state> self;
};

} // namespace kingcupcart::batch
