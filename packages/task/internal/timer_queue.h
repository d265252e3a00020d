#pragma once

#include "base/clock.h"
#include "task/wakeup.h"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>

namespace kingcupcart::task {

class timer;

/// The armed timers of one event loop, with the wakeup that they share.
class timer_queue : public std::enable_shared_from_this<timer_queue> {
public:
    /// The queue of the calling thread's event loop; created if there is none.
    static std::shared_ptr<timer_queue> current();

    timer_queue();

    std::uint64_t next_number() { return ++this->last_number; }
    void add(timer& armed);
    void remove(const timer& armed);

private:
    void call_due_timers();
    void arm_wakeup();

    std::map<std::pair<time_point, std::uint64_t>, timer*> timers;
    std::uint64_t last_number = 0;
    wakeup next_due;
};

} // namespace kingcupcart::task
