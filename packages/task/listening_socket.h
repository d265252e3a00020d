#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "task/g_pointer.h"

#include <gio/gio.h>

namespace kingcupcart::task {

/// A bound TCP socket whose accept queue has room for the connections of a whole fleet.
struct listening_socket {
    g_pointer<GSocket> socket;
    /// The bound address, with the port that the kernel chose for port 0.
    endpoint bound;

    /// Fails with `input_output` if the address can't be bound.
    static outcome<listening_socket> open(const endpoint& address);
};

} // namespace kingcupcart::task
