#include "wire/listener.h"

#include "task/g_pointer.h"
#include "task/listening_socket.h"

#include <string>
#include <utility>

namespace kingcupcart::wire {

outcome<std::unique_ptr<listener>> listener::open(const endpoint& address, handler on_connection) {
    BOOST_LEAF_AUTO(listening, task::listening_socket::open(address));
    task::g_pointer<GSocketService> service(g_socket_service_new());
    GError* problem = nullptr;
    if (g_socket_listener_add_socket(G_SOCKET_LISTENER(service.get()), listening.socket.get(),
                                     nullptr, &problem) == FALSE) {
        const std::string message = problem->message;
        g_error_free(problem);
        return fail(error_code::input_output, address.to_string() + ": " + message);
    }
    auto* listener_service = static_cast<GSocketService*>(g_object_ref(service.get()));
    return std::unique_ptr<listener>(
        new listener(listener_service, std::move(listening.bound), std::move(on_connection)));
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
