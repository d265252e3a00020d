#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"

#include <gio/gio.h>

#include <functional>
#include <memory>

namespace kingcupcart::wire {

/// Accepts connections from other instances, on the event loop of the thread that opened it.
class listener {
public:
    /// The connection is valid during the call; `peer_link::accept` takes its own reference.
    using handler = std::function<void(GSocketConnection*)>;

    /// Fails with `input_output` if the address can't be bound. Port 0 selects a free port.
    static outcome<std::unique_ptr<listener>> open(const endpoint& address, handler on_connection);

    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// The bound address, with the actual port.
    [[nodiscard]] const endpoint& address() const { return this->bound; }

private:
    listener(GSocketService* service, endpoint bound, handler on_connection);
    static gboolean on_incoming(GSocketService* service, GSocketConnection* connection,
                                GObject* source, gpointer accepting_listener);

    GSocketService* service;
    endpoint bound;
    handler on_connection;
};

} // namespace kingcupcart::wire
