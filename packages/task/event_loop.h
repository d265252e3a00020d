#pragma once

#include <glib.h>

namespace kingcupcart::task {

/// A GLib main context with its main loop. Sources that a thread creates between `enter` and
/// `leave` are attached to this context.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `quit`. Call it between `enter` and `leave`.
    void run();
    /// Callable from any thread, also before `run`, which then returns at once.
    void quit();
    /// Makes the context the calling thread's default, so that sources can be created before `run`.
    void enter();
    void leave();

    [[nodiscard]] GMainContext* context() const { return this->main_context; }

private:
    GMainContext* main_context;
    GMainLoop* loop;
};

} // namespace kingcupcart::task
