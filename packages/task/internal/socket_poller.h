#pragma once

#include "task/socket_set.h"

#include <glib.h>

#include <memory>

namespace kingcupcart::task {

/// The sockets that the watches of one event loop share, with their GLib source.
class socket_poller {
public:
    /// The poller of the calling thread's event loop; created if there is none.
    static std::shared_ptr<socket_poller> current();

    explicit socket_poller(GMainContext* context);
    ~socket_poller();
    socket_poller(const socket_poller&) = delete;
    socket_poller& operator=(const socket_poller&) = delete;

    [[nodiscard]] socket_set& sockets() { return this->watched; }

private:
    static gboolean dispatch(GSource* source, GSourceFunc function, gpointer data);

    GSource* source;
    socket_set watched;
};

} // namespace kingcupcart::task
