#include "wire/listener.h"

#include "task/g_pointer.h"

#include <utility>

namespace kingcupcart::wire {

namespace {

/// Connections that the kernel completes before they are accepted. After a loss of power all
/// instances of a fleet connect to the same few at once, and one that finds the queue full tries
/// again only after a second or more. The kernel reduces it to `net.core.somaxconn`.
constexpr int accept_queue_length = 1024;

} // namespace

outcome<std::unique_ptr<listener>> listener::open(const endpoint& address, handler on_connection) {
    const task::g_pointer<GSocketAddress> requested_address(
        g_inet_socket_address_new_from_string(address.address.c_str(), address.port));
    task::g_pointer<GSocketService> service(g_socket_service_new());
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(service.get()), accept_queue_length);
    GSocketAddress* effective_address = nullptr;
    GError* problem = nullptr;
    const gboolean is_bound = g_socket_listener_add_address(
        G_SOCKET_LISTENER(service.get()), requested_address.get(), G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, nullptr, &effective_address, &problem);
    if (is_bound == FALSE) {
        const std::string message = problem->message;
        g_error_free(problem);
        return fail(error_code::input_output, address.to_string() + ": " + message);
    }
    const task::g_pointer<GSocketAddress> effective_address_reference(effective_address);
    endpoint bound = address;
    bound.port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective_address));
    auto* listener_service = static_cast<GSocketService*>(g_object_ref(service.get()));
    return std::unique_ptr<listener>(
        new listener(listener_service, bound, std::move(on_connection)));
}

listener::listener(GSocketService* service, endpoint bound, handler on_connection)
    : service(service), bound(std::move(bound)), on_connection(std::move(on_connection)) {
    g_signal_connect(this->service, "incoming", G_CALLBACK(&listener::on_incoming), this);
    g_socket_service_start(this->service);
}

listener::~listener() {
    g_signal_handlers_disconnect_by_data(this->service, this);
    g_socket_service_stop(this->service);
    g_socket_listener_close(G_SOCKET_LISTENER(this->service));
    g_object_unref(this->service);
}

gboolean listener::on_incoming(GSocketService* /*service*/, GSocketConnection* connection,
                               GObject* /*source*/, gpointer accepting_listener) {
    static_cast<listener*>(accepting_listener)->on_connection(connection);
    return TRUE;
}

} // namespace kingcupcart::wire
