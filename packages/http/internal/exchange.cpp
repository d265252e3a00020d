#include "http/exchange.h"

#include "task/g_pointer.h"

#include <sys/socket.h>

#include <utility>

namespace kingcupcart::http {

/// Watches the caller's connection while the answer is awaited: a paused libsoup message does not
/// look at its socket.
class exchange::state {
public:
    explicit state(SoupServerMessage* handled)
        : message(task::g_pointer<SoupServerMessage>::share(handled)) {
        g_signal_connect(handled, "finished", G_CALLBACK(&state::finished), this);
        this->watch();
    }

    ~state() {
        this->unwatch();
        g_signal_handlers_disconnect_by_data(this->message.get(), this);
        if (!this->is_answered && !this->is_finished) {
            this->cut();
        }
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void answered() {
        this->is_answered = true;
        this->unwatch();
        this->left = nullptr;
    }

    void resume() {
        if (!this->is_finished) {
            soup_server_message_unpause(this->message.get());
        }
    }

    task::g_pointer<SoupServerMessage> message;
    std::function<void()> left;
    bool is_streaming = false;
    bool is_answered = false;
    bool is_finished = false;

private:
    void watch() {
        GSocket* socket = soup_server_message_get_socket(this->message.get());
        if (socket == nullptr) {
            return;
        }
        this->source = g_socket_create_source(socket, G_IO_IN, nullptr);
        g_source_set_callback(this->source, G_SOURCE_FUNC(&state::readable), this, nullptr);
        g_source_attach(this->source, g_main_context_get_thread_default());
    }

    void unwatch() {
        if (this->source != nullptr) {
            g_source_destroy(this->source);
            g_source_unref(this->source);
            this->source = nullptr;
        }
    }

    void cut() {
        GSocket* socket = soup_server_message_get_socket(this->message.get());
        if (socket != nullptr) {
            g_socket_close(socket, nullptr);
        }
        soup_server_message_unpause(this->message.get());
    }

    void tell_left() {
        this->unwatch();
        if (const auto callback = std::exchange(this->left, nullptr)) {
            callback();
        }
    }

    static gboolean readable(GSocket* socket, GIOCondition /*condition*/, gpointer data) {
        auto* self = static_cast<state*>(data);
        char byte = 0;
        const auto size = recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (size > 0) {
            // A pipelined request: it waits its turn, and would wake this source without end.
            self->unwatch();
            return G_SOURCE_REMOVE;
        }
        self->tell_left();
        return G_SOURCE_REMOVE;
    }

    static void finished(SoupServerMessage* /*message*/, gpointer data) {
        auto* self = static_cast<state*>(data);
        self->is_finished = true;
        if (!self->is_answered) {
            self->tell_left();
        }
    }

    GSource* source = nullptr;
};

exchange::exchange(SoupServerMessage* message) : self(std::make_shared<state>(message)) {}

exchange::~exchange() = default;

std::string exchange::method() const {
    return soup_server_message_get_method(this->self->message.get());
}

std::string exchange::plain_path() const {
    return g_uri_get_path(soup_server_message_get_uri(this->self->message.get()));
}

std::string exchange::path() const {
    GUri* uri = soup_server_message_get_uri(this->self->message.get());
    const char* query = g_uri_get_query(uri);
    const std::string path = g_uri_get_path(uri);
    return query == nullptr ? path : path + "?" + query;
}

std::string exchange::header(const char* name) const {
    SoupMessageHeaders* headers =
        soup_server_message_get_request_headers(this->self->message.get());
    const char* value = soup_message_headers_get_list(headers, name);
    return value == nullptr ? "" : value;
}

std::vector<header_field> exchange::headers() const {
    std::vector<header_field> fields;
    SoupMessageHeadersIter iterator{};
    soup_message_headers_iter_init(
        &iterator, soup_server_message_get_request_headers(this->self->message.get()));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        fields.push_back({name, value});
    }
    return fields;
}

std::string exchange::body() const {
    SoupMessageBody* body = soup_server_message_get_request_body(this->self->message.get());
    return {body->data, static_cast<std::size_t>(body->length)};
}

std::string exchange::remote_address() const {
    const char* host = soup_server_message_get_remote_host(this->self->message.get());
    return host == nullptr ? "" : host;
}

void exchange::on_left(std::function<void()> callback) {
    this->self->left = std::move(callback);
}

void exchange::add_header(const char* name, const std::string& value) {
    soup_message_headers_append(soup_server_message_get_response_headers(this->self->message.get()),
                                name, value.c_str());
}

void exchange::respond(int status, const std::string& content_type, std::string_view body) {
    SoupServerMessage* message = this->self->message.get();
    this->self->answered();
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    if (body.empty()) {
        soup_message_headers_set_content_length(soup_server_message_get_response_headers(message),
                                                0);
    } else {
        soup_server_message_set_response(message, content_type.c_str(), SOUP_MEMORY_COPY,
                                         body.data(), body.size());
    }
    this->self->resume();
}

void exchange::begin_stream(int status, const std::string& content_type) {
    SoupServerMessage* message = this->self->message.get();
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_set_content_type(headers, content_type.c_str(), nullptr);
    soup_message_headers_replace(headers, "Cache-Control", "no-cache");
    soup_message_body_set_accumulate(soup_server_message_get_response_body(message), FALSE);
    this->self->is_streaming = true;
}

void exchange::write(std::string_view part) {
    if (part.empty()) {
        return;
    }
    SoupMessageBody* body = soup_server_message_get_response_body(this->self->message.get());
    soup_message_body_append(body, SOUP_MEMORY_COPY, part.data(), part.size());
    this->self->resume();
}

void exchange::end_stream() {
    this->self->answered();
    soup_message_body_complete(soup_server_message_get_response_body(this->self->message.get()));
    this->self->resume();
}

bool exchange::is_streaming() const {
    return this->self->is_streaming;
}

} // namespace kingcupcart::http
