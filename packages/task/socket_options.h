#pragma once

#include <gio/gio.h>

namespace kingcupcart::task {

/// Makes the kernel close a TCP connection whose peer does not respond: when sent data stays
/// unacknowledged for `timeout_ms`, or when the keepalive probes of an idle connection have had no
/// reply for as long, rounded up to the next probe. By default a connection over a partitioned
/// network stays open for minutes.
void set_peer_timeout(GSocket* socket, unsigned timeout_ms);

} // namespace kingcupcart::task
