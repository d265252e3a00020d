#include "task/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace kingcupcart::task {

namespace {

constexpr unsigned milliseconds_per_second = 1000;
/// Probes of an idle connection within the timeout. Once they are unacknowledged, the kernel closes
/// the connection; with TCP_USER_TIMEOUT it does so at the first probe that is due after the
/// timeout, whatever the count.
constexpr int probe_count = 2;

} // namespace

void set_peer_timeout(GSocket* socket, unsigned timeout_ms) {
    const int probe_interval_s =
        std::max(1, static_cast<int>(timeout_ms / milliseconds_per_second / probe_count));
    // An option that the kernel does not support keeps its default, which only detects the failure
    // later.
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<gint>(timeout_ms),
                        nullptr);
}

} // namespace kingcupcart::task
