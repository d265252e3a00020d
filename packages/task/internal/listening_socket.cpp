#include "task/listening_socket.h"

#include <string>
#include <utility>

namespace kingcupcart::task {

namespace {

/// Connections that the kernel completes before they are accepted. After a loss of power all
/// instances of a fleet and their callers connect to the same few at once, and one that finds the
/// queue full tries again only after a second or more. The kernel reduces it to
/// `net.core.somaxconn`.
constexpr int accept_queue_length = 1024;

/// Takes ownership of the error.
auto failure(const endpoint& address, GError* problem) {
    const std::string message = problem->message;
    g_error_free(problem);
    return fail(error_code::input_output, address.to_string() + ": " + message);
}

} // namespace

outcome<listening_socket> listening_socket::open(const endpoint& address) {
    GError* problem = nullptr;
    const g_pointer<GSocketAddress> requested(
        g_inet_socket_address_new_from_string(address.address.c_str(), address.port));
    if (!requested) {
        return fail(error_code::input_output, address.to_string() + ": not an IP address");
    }
    g_pointer<GSocket> socket(g_socket_new(g_socket_address_get_family(requested.get()),
                                           G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &problem));
    if (!socket) {
        return failure(address, problem);
    }
    g_socket_set_listen_backlog(socket.get(), accept_queue_length);
    if (g_socket_bind(socket.get(), requested.get(), TRUE, &problem) == FALSE ||
        g_socket_listen(socket.get(), &problem) == FALSE) {
        return failure(address, problem);
    }
    const g_pointer<GSocketAddress> effective(g_socket_get_local_address(socket.get(), &problem));
    if (!effective) {
        return failure(address, problem);
    }
    endpoint bound = address;
    bound.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective.get()));
    return listening_socket{std::move(socket), std::move(bound)};
}

} // namespace kingcupcart::task
