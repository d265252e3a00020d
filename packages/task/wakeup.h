#pragma once

#include "base/clock.h"

#include <glib.h>

#include <atomic>
#include <functional>

namespace kingcupcart::task {

/// A timer that calls back on the event loop of the thread that created it. It is a single GLib
/// source: the loop's poll sleeps until its time.
class wakeup {
public:
    explicit wakeup(std::function<void()> callback);
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    /// Sets the time of the callback, in place of an earlier one. Callable only from the loop's
    /// thread. Setting the same time again costs nothing, while a new time wakes the loop.
    void arm(time_point time);
    /// Calls back in the next loop iteration. Callable from any thread.
    void arm_now();
    void disarm();

private:
    static gboolean dispatch(GSource* source, GSourceFunc function, gpointer data);

    std::function<void()> callback;
    GSource* source;
    /// The time that was set last, in microseconds of GLib's monotonic clock; -1 is never.
    std::atomic<gint64> ready_time = -1;
    /// GLib dispatches a source that it found ready even if another callback disarmed it since.
    std::atomic<bool> armed = false;
};

} // namespace kingcupcart::task
