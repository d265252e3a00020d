#pragma once

#include <glib.h>

namespace kingcupcart::task {

/// A GLib main context with its loop; whatever is made on the thread that runs it belongs to it.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until `quit`; the context is the thread's default meanwhile.
    void run();
    /// May be called from any thread.
    void quit();
    /// Makes the context the calling thread's default, for setting up before `run`.
    void enter();
    void leave();

    [[nodiscard]] GMainContext* context() const { return this->main_context; }

private:
    GMainContext* main_context;
    GMainLoop* loop;
};

} // namespace kingcupcart::task
