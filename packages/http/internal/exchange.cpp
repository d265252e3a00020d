#include "http/exchange.h"

#include "http/internal/buffered_message.h"
#include "task/g_pointer.h"

#include <sys/socket.h>

#include <utility>

namespace kingcupcart::http {

/// Watches the client's connection until the response is complete: libsoup does not poll the socket
/// of a paused message, so it would not notice that the client disconnects.
class exchange::state {
public:
    state(SoupServerMessage* server_message, std::shared_ptr<buffered_message> message_buffers,
          stage received)
        : message(task::g_pointer<SoupServerMessage>::share(server_message)),
          buffers(std::move(message_buffers)),
          received(received) {
        g_signal_connect(server_message, "finished", G_CALLBACK(&state::finished), this);
        g_signal_connect(server_message, "wrote-body-data", G_CALLBACK(&state::wrote_body_data),
                         this);
        if (received == stage::complete) {
            this->start_watching();
        }
    }

    ~state() {
        this->stop_watching();
        g_signal_handlers_disconnect_by_data(this->message.get(), this);
        if (!this->is_responded && !this->is_finished && this->received == stage::complete) {
            this->close_connection();
        }
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void mark_responded() {
        this->is_responded = true;
        this->stop_watching();
        this->disconnect_callback = nullptr;
        this->sent_callback = nullptr;
    }

    void resume() {
        // libsoup has not paused a message of which it reads the body.
        if (!this->is_finished && this->received == stage::complete) {
            soup_server_message_unpause(this->message.get());
        }
    }

    task::g_pointer<SoupServerMessage> message;
    std::shared_ptr<buffered_message> buffers;
    stage received;
    std::function<void()> disconnect_callback;
    std::function<void()> sent_callback;
    bool is_streaming = false;
    bool is_responded = false;
    bool is_finished = false;

private:
    void start_watching() {
        GSocket* socket = soup_server_message_get_socket(this->message.get());
        if (socket == nullptr) {
            return;
        }
        this->source = g_socket_create_source(socket, G_IO_IN, nullptr);
        g_source_set_callback(this->source, G_SOURCE_FUNC(&state::socket_readable), this, nullptr);
        g_source_attach(this->source, g_main_context_get_thread_default());
    }

    void stop_watching() {
        if (this->source != nullptr) {
            g_source_destroy(this->source);
            g_source_unref(this->source);
            this->source = nullptr;
        }
    }

    void close_connection() {
        GSocket* socket = soup_server_message_get_socket(this->message.get());
        if (socket != nullptr) {
            g_socket_close(socket, nullptr);
            if (this->is_streaming && g_socket_is_closed(socket) != FALSE) {
                // libsoup waits for the next part of a stream, and notices the closed connection
                // only when it writes one.
                soup_message_body_complete(
                    soup_server_message_get_response_body(this->message.get()));
            }
        }
        soup_server_message_unpause(this->message.get());
    }

    void notify_disconnected() {
        this->stop_watching();
        if (const auto callback = std::exchange(this->disconnect_callback, nullptr)) {
            callback();
        }
    }

    static gboolean socket_readable(GSocket* socket, GIOCondition /*condition*/, gpointer data) {
        auto* exchange_state = static_cast<state*>(data);
        char byte = 0;
        const auto size = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (size > 0) {
            // The client pipelined another request. libsoup reads it after this response; until
            // then it would trigger this source over and over.
            exchange_state->stop_watching();
            return G_SOURCE_REMOVE;
        }
        exchange_state->notify_disconnected();
        return G_SOURCE_REMOVE;
    }

    static void finished(SoupServerMessage* /*message*/, gpointer data) {
        auto* exchange_state = static_cast<state*>(data);
        exchange_state->is_finished = true;
        if (!exchange_state->is_responded) {
            exchange_state->notify_disconnected();
        }
    }

    static void wrote_body_data(SoupServerMessage* /*message*/, guint /*size*/, gpointer data) {
        const auto* exchange_state = static_cast<state*>(data);
        // The callback may destroy the exchange, and with it the function.
        if (const auto callback = exchange_state->sent_callback) {
            callback();
        }
    }

    GSource* source = nullptr;
};

exchange::exchange(SoupServerMessage* message, std::shared_ptr<buffered_message> buffers,
                   stage received)
    : impl(std::make_shared<state>(message, std::move(buffers), received)) {}

exchange::~exchange() = default;

std::string exchange::method() const {
    return soup_server_message_get_method(this->impl->message.get());
}

std::string exchange::path_without_query() const {
    return g_uri_get_path(soup_server_message_get_uri(this->impl->message.get()));
}

std::string exchange::path() const {
    GUri* uri = soup_server_message_get_uri(this->impl->message.get());
    const char* query = g_uri_get_query(uri);
    const std::string path = g_uri_get_path(uri);
    return query == nullptr ? path : path + "?" + query;
}

std::string exchange::header(const char* name) const {
    SoupMessageHeaders* headers =
        soup_server_message_get_request_headers(this->impl->message.get());
    const char* value = soup_message_headers_get_list(headers, name);
    return value == nullptr ? "" : value;
}

std::vector<header_field> exchange::headers() const {
    std::vector<header_field> fields;
    SoupMessageHeadersIter iterator{};
    soup_message_headers_iter_init(
        &iterator, soup_server_message_get_request_headers(this->impl->message.get()));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        fields.push_back({name, value});
    }
    return fields;
}

std::string exchange::body() const {
    SoupMessageBody* body = soup_server_message_get_request_body(this->impl->message.get());
    return {body->data, static_cast<std::size_t>(body->length)};
}

std::string exchange::remote_address() const {
    const char* host = soup_server_message_get_remote_host(this->impl->message.get());
    return host == nullptr ? "" : host;
}

void exchange::on_disconnect(std::function<void()> callback) {
    this->impl->disconnect_callback = std::move(callback);
}

void exchange::add_header(const char* name, const std::string& value) {
    soup_message_headers_append(soup_server_message_get_response_headers(this->impl->message.get()),
                                name, value.c_str());
}

void exchange::respond(int status, const std::string& content_type, std::string_view body) {
    SoupServerMessage* message = this->impl->message.get();
    this->impl->mark_responded();
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    if (body.empty()) {
        soup_message_headers_set_content_length(soup_server_message_get_response_headers(message),
                                                0);
    } else {
        soup_server_message_set_response(message, content_type.c_str(), SOUP_MEMORY_COPY,
                                         body.data(), body.size());
        this->impl->buffers->add_response(body.size());
    }
    this->impl->resume();
}

void exchange::begin_stream(int status, const std::string& content_type) {
    SoupServerMessage* message = this->impl->message.get();
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_set_content_type(headers, content_type.c_str(), nullptr);
    soup_message_headers_replace(headers, "Cache-Control", "no-cache");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    this->impl->is_streaming = true;
}

void exchange::write(std::string_view part) {
    if (part.empty()) {
        return;
    }
    SoupMessageBody* body = soup_server_message_get_response_body(this->impl->message.get());
    soup_message_body_append(body, SOUP_MEMORY_COPY, part.data(), part.size());
    this->impl->buffers->add_stream_part(part.size());
    this->impl->resume();
}

void exchange::end_stream() {
    this->impl->mark_responded();
    soup_message_body_complete(soup_server_message_get_response_body(this->impl->message.get()));
    this->impl->resume();
}

std::size_t exchange::unsent_bytes() const {
    return this->impl->buffers->unsent_bytes();
}

void exchange::on_sent(std::function<void()> callback) {
    this->impl->sent_callback = std::move(callback);
}

bool exchange::is_responded() const {
    return this->impl->is_responded;
}

bool exchange::is_streaming() const {
    return this->impl->is_streaming;
}

} // namespace kingcupcart::http
