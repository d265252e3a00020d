#include "task/event_loop.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace kingcupcart::task {

namespace {

/// Up to this many descriptors an iteration is cheap, and no event is delayed.
constexpr std::size_t max_uncollected_descriptors = 256;
/// An iteration takes 0.1 to 0.2 us a descriptor, so that iterations take a thirtieth of a core at
/// most.
constexpr duration collect_time_per_descriptor = std::chrono::microseconds(5);
/// Far below the deadlines of calls, and below a round trip between regions.
constexpr duration max_collect_time = std::chrono::milliseconds(20);

gint poll_collected(GPollFD* descriptors, guint count, gint timeout_ms) {
    if (count <= max_uncollected_descriptors) {
        return g_poll(descriptors, count, timeout_ms);
    }
    // A thread runs one loop.
    thread_local time_point polled_at{};
    const time_point due = polled_at + event_loop::collect_time(count);
    if (std::chrono::steady_clock::now() < due) {
        std::this_thread::sleep_until(due);
    }
    const gint ready = g_poll(descriptors, count, timeout_ms);
    polled_at = std::chrono::steady_clock::now();
    return ready;
}

} // namespace

event_loop::event_loop()
    : main_context(g_main_context_new()), loop(g_main_loop_new(this->main_context, FALSE)) {
    g_main_context_set_poll_func(this->main_context, &poll_collected);
}

duration event_loop::collect_time(std::size_t descriptors) {
    if (descriptors <= max_uncollected_descriptors) {
        return duration::zero();
    }
    const auto count = static_cast<duration::rep>(descriptors);
    return std::min(max_collect_time, count * collect_time_per_descriptor);
}

event_loop::~event_loop() {
    g_main_loop_unref(this->loop);
    g_main_context_unref(this->main_context);
}

void event_loop::run() {
    g_main_loop_run(this->loop);
}

void event_loop::quit() {
    // g_main_loop_quit has no effect on a loop that does not run yet, and g_main_loop_run would
    // then never return. So a source calls it from within the loop.
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_HIGH);
    g_source_set_callback(
        source,
        [](gpointer loop) -> gboolean {
            g_main_loop_quit(static_cast<GMainLoop*>(loop));
            return G_SOURCE_REMOVE;
        },
        this->loop, nullptr);
    g_source_attach(source, this->main_context);
    g_source_unref(source);
}

void event_loop::enter() {
    g_main_context_push_thread_default(this->main_context);
}

void event_loop::leave() {
    g_main_context_pop_thread_default(this->main_context);
}

} // namespace kingcupcart::task
