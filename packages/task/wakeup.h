#pragma once

#include "base/clock.h"

#include <glib.h>

#include <atomic>
#include <functional>

namespace kingcupcart::task {

/// Calls back on the loop of the thread that made it, at a moment that can be changed. One source
/// that sleeps in the loop's poll; nothing is asked repeatedly.
class wakeup {
public:
    explicit wakeup(std::function<void()> callback);
    ~wakeup();
    wakeup(const wakeup&) = delete;
    wakeup& operator=(const wakeup&) = delete;

    /// Replaces an earlier moment. On the loop's own thread only; the same moment again costs
    /// nothing, while a changed one wakes the loop.
    void arm(time_point moment);
    /// From any thread.
    void arm_now();
    void disarm();

private:
    static gboolean dispatch(GSource* source, GSourceFunc function, gpointer data);

    std::function<void()> callback;
    GSource* source;
    /// What was set last, as GLib counts.
    std::atomic<gint64> ready_time = -1;
    /// A source that was found ready is dispatched even if it is disarmed meanwhile.
    std::atomic<bool> armed = false;
};

} // namespace kingcupcart::task
