#include "http/server.h"

#include "http/exchange.h"
#include "http/internal/buffered_message.h"
#include "task/g_pointer.h"
#include "task/listening_socket.h"

#include <chrono>
#include <string>
#include <utility>

namespace kingcupcart::http {

namespace {

/// Time for a caller to read a response that was sent before its body arrived. Closing the
/// connection earlier would discard the response where body bytes were not read.
constexpr duration refusal_read_time = std::chrono::seconds(1);

} // namespace

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
      refused_timer([this] { this->close_refused(); }),
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
    } else if (http_server->on_head) {
        http_server->check_head(message);
    }
}

void server::check_head(SoupServerMessage* message) {
    exchange head(message, this->open_requests.at(message), exchange::stage::head);
    this->on_head(head);
    if (!head.is_responded()) {
        return;
    }
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const bool has_body = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED ||
                          soup_message_headers_get_content_length(headers) > 0;
    // A caller that waits for an interim response has not sent its body, and libsoup responds.
    const bool waits =
        (soup_message_headers_get_expectations(headers) & SOUP_EXPECTATION_CONTINUE) != 0;
    if (has_body) {
        announce_close(message);
    }
    if (has_body && !waits) {
        this->respond_before_body(message);
    }
}

void server::respond_before_body(SoupServerMessage* message) {
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    SoupMessageBody* body = soup_server_message_get_response_body(message);
    const guint status = soup_server_message_get_status(message);
    soup_message_headers_set_content_length(headers, body->length);
    std::string response =
        "HTTP/1.1 " + std::to_string(status) + " " + soup_status_get_phrase(status) + "\r\n";
    SoupMessageHeadersIter iterator{};
    soup_message_headers_iter_init(&iterator, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        response += std::string(name) + ": " + value + "\r\n";
    }
    response += "\r\n";
    GBytes* content = soup_message_body_flatten(body);
    gsize size = 0;
    const auto* bytes = static_cast<const char*>(g_bytes_get_data(content, &size));
    if (size > 0) {
        response.append(bytes, size);
    }
    g_bytes_unref(content);
    GSocket* socket = soup_server_message_get_socket(message);
    // A new request follows responses that were read, so the system takes a short one whole. Of
    // one that it does not take, the caller sees the closed connection.
    g_socket_send_with_blocking(socket, response.data(), response.size(), FALSE, nullptr, nullptr);
    // libsoup reads on, and fails when it comes to write a response.
    g_socket_shutdown(socket, FALSE, TRUE, nullptr);
    this->open_requests.at(message)->discard_body();
    this->refused.emplace_back(std::chrono::steady_clock::now() + refusal_read_time, message);
    this->refused_timer.arm(this->refused.front().first);
}

void server::close_refused() {
    const time_point now = std::chrono::steady_clock::now();
    while (!this->refused.empty() && this->refused.front().first <= now) {
        SoupServerMessage* message = this->refused.front().second;
        this->refused.pop_front();
        GSocket* socket = soup_server_message_get_socket(message);
        if (socket != nullptr) {
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        }
    }
    if (!this->refused.empty()) {
        this->refused_timer.arm(this->refused.front().first);
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
        std::erase_if(http_server->refused,
                      [message](const auto& entry) { return entry.second == message; });
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
