#include "task/event_loop.h"

namespace kingcupcart::task {

event_loop::event_loop()
    : main_context(g_main_context_new()), loop(g_main_loop_new(this->main_context, FALSE)) {}

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
