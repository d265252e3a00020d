#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace kingcupcart::task {

class timer_queue;

/// A timer that calls back on the event loop of the thread that created it. All timers of a loop
/// share one GLib source, so that many of them cost no more than few. `wakeup` is the alternative
/// for one that other threads arm.
class timer {
public:
    explicit timer(std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Sets the time of the callback, in place of an earlier one. The callback may destroy the
    /// timer.
    void arm(time_point time);
    void disarm();

private:
    friend class timer_queue;

    std::shared_ptr<timer_queue> queue;
    std::shared_ptr<std::function<void()>> callback;
    /// Distinguishes timers that are due at the same time.
    std::uint64_t number;
    time_point due{};
    bool is_armed = false;
};

} // namespace kingcupcart::task
