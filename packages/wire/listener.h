#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"

#include <gio/gio.h>

#include <functional>
#include <memory>

namespace kingcupcart::wire {

/// Accepts links from other instances, on the loop of the thread that made it.
class listener {
public:
    /// The connection is borrowed for the call; `peer_link::accept` takes its own reference.
    using handler = std::function<void(GSocketConnection*)>;

    /// Fails with `input_output` where the address can't be bound.
    static outcome<std::unique_ptr<listener>> open(const endpoint& address, handler accepted);

    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// The bound address, with the port that the kernel chose for port 0.
    [[nodiscard]] const endpoint& address() const { return this->bound; }

private:
    listener(GSocketService* service, endpoint bound, handler accepted);
    static gboolean incoming(GSocketService* service, GSocketConnection* connection,
                             GObject* source, gpointer data);

    GSocketService* service;
    endpoint bound;
    handler accepted;
};

} // namespace kingcupcart::wire
