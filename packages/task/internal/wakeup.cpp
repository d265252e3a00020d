#include "task/wakeup.h"

#include <chrono>
#include <utility>

namespace kingcupcart::task {

namespace {

constexpr gint64 now = 0;
constexpr gint64 never = -1;

GSourceFuncs make_functions(gboolean (*dispatch)(GSource*, GSourceFunc, gpointer)) {
    GSourceFuncs functions{};
    functions.dispatch = dispatch;
    return functions;
}

} // namespace

wakeup::wakeup(std::function<void()> callback) : callback(std::move(callback)) {
    static GSourceFuncs functions = make_functions(&wakeup::dispatch);
    this->source = g_source_new(&functions, sizeof(GSource));
    g_source_set_callback(this->source, nullptr, this, nullptr);
    g_source_set_ready_time(this->source, never);
    g_source_attach(this->source, g_main_context_get_thread_default());
}

wakeup::~wakeup() {
    g_source_destroy(this->source);
    g_source_unref(this->source);
}

void wakeup::arm(time_point time) {
    // GLib's monotonic time and the steady clock have the same epoch.
    const auto microseconds = std::chrono::ceil<std::chrono::microseconds>(time.time_since_epoch());
    if (this->armed && this->ready_time == microseconds.count()) {
        return;
    }
    this->ready_time = microseconds.count();
    this->armed = true;
    g_source_set_ready_time(this->source, this->ready_time);
}

void wakeup::arm_now() {
    this->ready_time = now;
    this->armed = true;
    g_source_set_ready_time(this->source, now);
}

void wakeup::disarm() {
    this->armed = false;
    g_source_set_ready_time(this->source, never);
}

gboolean wakeup::dispatch(GSource* source, GSourceFunc /*function*/, gpointer data) {
    g_source_set_ready_time(source, never);
    auto* ready_wakeup = static_cast<wakeup*>(data);
    if (ready_wakeup->armed.exchange(false)) {
        ready_wakeup->callback();
    }
    return G_SOURCE_CONTINUE;
}

} // namespace kingcupcart::task
