#pragma once

#include <gio/gio.h>

namespace kingcupcart::task {

/// Has the kernel give up a TCP connection whose peer does not answer: after `limit_ms` of sent and
/// unacknowledged data, and of idle probes. Without it a cut network holds a connection for
/// minutes.
void limit_silence(GSocket* socket, unsigned limit_ms);

} // namespace kingcupcart::task
