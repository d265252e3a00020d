#include "task/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace kingcupcart::task {

namespace {

constexpr unsigned milliseconds_per_second = 1000;
/// Probes of an idle connection before it is given up.
constexpr int probe_count = 2;

} // namespace

void limit_silence(GSocket* socket, unsigned limit_ms) {
    const int probe_interval =
        std::max(1, static_cast<int>(limit_ms / milliseconds_per_second / probe_count));
    // An option that the kernel does not know leaves its default, which is only slower.
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probe_count, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<gint>(limit_ms),
                        nullptr);
}

} // namespace kingcupcart::task
