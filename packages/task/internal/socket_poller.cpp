#include "task/internal/socket_poller.h"

#include <map>

namespace kingcupcart::task {

namespace {

/// Sockets handled in one iteration of the event loop. More ready ones wait for the next iteration,
/// so that timers and other sources are served in between.
constexpr int max_sockets_per_iteration = 64;

GSourceFuncs make_functions(gboolean (*dispatch)(GSource*, GSourceFunc, gpointer)) {
    GSourceFuncs functions{};
    functions.dispatch = dispatch;
    return functions;
}

} // namespace

std::shared_ptr<socket_poller> socket_poller::current() {
    thread_local std::map<GMainContext*, std::weak_ptr<socket_poller>> pollers;
    GMainContext* context = g_main_context_get_thread_default();
    std::shared_ptr<socket_poller> poller = pollers[context].lock();
    if (poller == nullptr) {
        poller = std::make_shared<socket_poller>(context);
        pollers[context] = poller;
    }
    return poller;
}

socket_poller::socket_poller(GMainContext* context) {
    static GSourceFuncs functions = make_functions(&socket_poller::dispatch);
    this->source = g_source_new(&functions, sizeof(GSource));
    g_source_set_callback(this->source, nullptr, this, nullptr);
    g_source_add_unix_fd(this->source, this->watched.descriptor(), G_IO_IN);
    g_source_attach(this->source, context);
}

socket_poller::~socket_poller() {
    g_source_destroy(this->source);
    g_source_unref(this->source);
}

gboolean socket_poller::dispatch(GSource* /*source*/, GSourceFunc /*function*/, gpointer data) {
    // A callback may destroy the last watch, and with it this object.
    const std::shared_ptr<socket_poller> poller = current();
    if (poller.get() == data) {
        poller->watched.call_ready(max_sockets_per_iteration);
    }
    return G_SOURCE_CONTINUE;
}

} // namespace kingcupcart::task
