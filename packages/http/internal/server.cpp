#include "http/server.h"

#include "http/exchange.h"
#include "http/internal/buffered_message.h"
#include "task/g_pointer.h"
#include "task/listening_socket.h"

#include <string>
#include <utility>

namespace kingcupcart::http {

outcome<std::unique_ptr<server>> server::open(const endpoint& address, std::int64_t body_limit,
                                              handler on_request,
                                              std::shared_ptr<caller_budget> budget) {
    BOOST_LEAF_AUTO(listening, task::listening_socket::open(address));
    task::g_pointer<SoupServer> soup(
        soup_server_new("server-header", "kingcupcart", "raw-paths", TRUE, nullptr));
    GError* problem = nullptr;
    if (soup_server_listen_socket(soup.get(), listening.socket.get(),
                                  static_cast<SoupServerListenOptions>(0), &problem) == FALSE) {
        const std::string message = problem->message;
        g_error_free(problem);
        return fail(error_code::input_output, address.to_string() + ": " + message);
    }
    auto* owned_soup = static_cast<SoupServer*>(g_object_ref(soup.get()));
    return std::unique_ptr<server>(new server(owned_soup, std::move(listening.bound), body_limit,
                                              std::move(on_request), std::move(budget)));
}

server::server(SoupServer* soup, endpoint bound, std::int64_t body_limit, handler on_request,
               std::shared_ptr<caller_budget> budget)
    : soup(soup),
      bound(std::move(bound)),
      body_limit(body_limit),
      on_request(std::move(on_request)),
      budget(std::move(budget)) {
    soup_server_add_early_handler(this->soup, nullptr, &server::handle_headers, this, nullptr);
    soup_server_add_handler(this->soup, nullptr, &server::handle_request, this, nullptr);
    g_signal_connect(this->soup, "request-started", G_CALLBACK(&server::request_started), this);
    g_signal_connect(this->soup, "request-finished", G_CALLBACK(&server::request_ended), this);
    g_signal_connect(this->soup, "request-aborted", G_CALLBACK(&server::request_ended), this);
}

server::~server() {
    g_signal_handlers_disconnect_by_data(this->soup, this);
    soup_server_disconnect(this->soup);
    g_object_unref(this->soup);
}

void server::handle_headers(SoupServer* /*soup*/, SoupServerMessage* message, const char* /*path*/,
                            GHashTable* /*query*/, gpointer data) {
    auto* http_server = static_cast<server*>(data);
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_content_length(headers) > http_server->body_limit) {
        const std::string text =
            "body is larger than " + std::to_string(http_server->body_limit) + " bytes\n";
        soup_server_message_set_status(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
        soup_server_message_set_response(message, "text/plain", SOUP_MEMORY_COPY, text.data(),
                                         text.size());
        announce_close(message);
    }
}

void server::close_connections() {
    this->is_closing = true;
    for (const auto& [message, buffers] : this->open_requests) {
        announce_close(message);
    }
}

void server::announce_close(SoupServerMessage* message) {
    soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection",
                                 "close");
}

void server::close() {
    soup_server_disconnect(this->soup);
}

void server::begin_stop(std::function<void()> callback) {
    this->close_connections();
    this->on_idle = std::move(callback);
    this->check_idle();
}

void server::check_idle() {
    if (this->on_idle && this->is_idle()) {
        this->on_idle();
    }
}

void server::request_started(SoupServer* /*soup*/, SoupServerMessage* message, gpointer data) {
    auto* http_server = static_cast<server*>(data);
    http_server->open_requests.insert_or_assign(
        message,
        std::make_shared<buffered_message>(message, http_server->body_limit, http_server->budget));
    if (http_server->is_closing) {
        announce_close(message);
    }
}

void server::request_ended(SoupServer* /*soup*/, SoupServerMessage* message, gpointer data) {
    auto* http_server = static_cast<server*>(data);
    const auto ended = http_server->open_requests.find(message);
    if (ended != http_server->open_requests.end()) {
        ended->second->end();
        http_server->open_requests.erase(ended);
    }
    http_server->check_idle();
}

void server::handle_request(SoupServer* /*soup*/, SoupServerMessage* message, const char* /*path*/,
                            GHashTable* /*query*/, gpointer data) {
    auto* http_server = static_cast<server*>(data);
    soup_server_message_pause(message);
    const std::shared_ptr<buffered_message> buffers = http_server->open_requests.at(message);
    buffers->receive_complete();
    http_server->on_request(std::make_unique<exchange>(message, buffers));
}

} // namespace kingcupcart::http
