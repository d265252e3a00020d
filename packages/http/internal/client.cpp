#include "http/client.h"

#include "http/internal/connection_table.h"
#include "http/internal/read_round.h"
#include "task/g_pointer.h"
#include "task/socket_options.h"

#include <libsoup/soup.h>

#include <array>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr int connections_max = 4096;
constexpr guint idle_limit_seconds = 30;
constexpr std::size_t read_size = 16384;
/// A connection whose peer acknowledges nothing for so long is given up.
constexpr unsigned silence_limit_ms = 3000;
/// Rest of an answer that is worth reading for the sake of its connection, in bytes.
constexpr std::size_t drain_limit = 65536;

std::string take_message(GError* problem) {
    std::string message = problem->message;
    g_error_free(problem);
    return message;
}

answer_head head_of(SoupMessage* message) {
    answer_head head;
    head.status = static_cast<int>(soup_message_get_status(message));
    SoupMessageHeaders* headers = soup_message_get_response_headers(message);
    SoupMessageHeadersIter iterator{};
    soup_message_headers_iter_init(&iterator, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value) != FALSE) {
        head.headers.push_back({name, value});
    }
    const char* type = soup_message_headers_get_one(headers, "Content-Type");
    head.content_type = type == nullptr ? "" : type;
    return head;
}

} // namespace

/// Owns the libsoup session.
class client::sessions {
public:
    explicit sessions(duration read_interval)
        : session(soup_session_new_with_options(
              "max-conns", connections_max, "max-conns-per-host", connections_max, "idle-timeout",
              idle_limit_seconds, "timeout", 0U, "proxy-resolver", nullptr, nullptr)) {
        soup_session_remove_feature_by_type(this->session.get(), SOUP_TYPE_CONTENT_DECODER);
        if (read_interval > duration::zero()) {
            this->round = std::make_shared<read_round>(read_interval);
        }
    }

    task::g_pointer<SoupSession> session;
    std::shared_ptr<connection_table> connections = std::make_shared<connection_table>();
    /// Null where answers are read as they come.
    std::shared_ptr<read_round> round;
};

/// Kept alive by each asynchronous operation under way.
class client::call::state : public std::enable_shared_from_this<client::call::state> {
public:
    state(const request& wanted, callbacks notify, const sessions& part_of)
        : connections(part_of.connections),
          round(part_of.round),
          message(soup_message_new(wanted.method.c_str(), wanted.url.c_str())),
          cancellable(g_cancellable_new()),
          notify(std::move(notify)) {
        if (!this->message) {
            return;
        }
        // Without this flag libsoup opens a connection per request, and never sends one again.
        unsigned flags = SOUP_MESSAGE_NO_REDIRECT;
        if (wanted.repeatable) {
            flags |= SOUP_MESSAGE_IDEMPOTENT;
        }
        soup_message_set_flags(this->message.get(), static_cast<SoupMessageFlags>(flags));
        SoupMessageHeaders* headers = soup_message_get_request_headers(this->message.get());
        for (const header_field& field : wanted.headers) {
            soup_message_headers_append(headers, field.name.c_str(), field.value.c_str());
        }
        if (!wanted.body.empty() || !wanted.content_type.empty()) {
            GBytes* body = g_bytes_new(wanted.body.data(), wanted.body.size());
            // A body without a type would lose the type among the headers.
            const char* listed = soup_message_headers_get_one(headers, "Content-Type");
            const std::string type =
                wanted.content_type.empty() && listed != nullptr ? listed : wanted.content_type;
            soup_message_set_request_body_from_bytes(this->message.get(),
                                                     type.empty() ? nullptr : type.c_str(), body);
            g_bytes_unref(body);
        }
        g_signal_connect(this->message.get(), "starting", G_CALLBACK(&state::starting), this);
        g_signal_connect(this->message.get(), "network-event", G_CALLBACK(&state::network_event),
                         this);
    }

    ~state() {
        if (this->message) {
            g_signal_handlers_disconnect_by_data(this->message.get(), this);
        }
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void start(SoupSession* session) {
        soup_session_send_async(session, this->message.get(), G_PRIORITY_DEFAULT,
                                this->cancellable.get(), &state::head_received, this->hold());
    }

    void cancel() {
        if (this->is_draining) {
            return;
        }
        this->is_over = true;
        g_cancellable_cancel(this->cancellable.get());
    }

    void drain() {
        this->is_draining = !this->is_over;
        this->is_over = true;
    }

    [[nodiscard]] bool is_valid() const { return static_cast<bool>(this->message); }

    void end(call_end how, const std::string& reason) {
        if (!this->is_over) {
            this->is_over = true;
            const auto told = std::move(this->notify.ended);
            told(how, reason);
        }
    }

private:
    using holder = std::shared_ptr<state>;

    gpointer hold() { return new holder(this->shared_from_this()); }

    static holder release(gpointer data) {
        auto* held = static_cast<holder*>(data);
        holder kept = std::move(*held);
        delete held;
        return kept;
    }

    static void network_event(SoupMessage* /*message*/, GSocketClientEvent event, GIOStream* stream,
                              gpointer data) {
        if (event == G_SOCKET_CLIENT_CONNECTING && G_IS_SOCKET_CONNECTION(stream)) {
            task::limit_silence(g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)),
                                silence_limit_ms);
        }
        if (event == G_SOCKET_CLIENT_COMPLETE && G_IS_SOCKET_CONNECTION(stream)) {
            GSocket* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
            static_cast<state*>(data)->new_socket = task::g_pointer<GSocket>::share(socket);
        }
    }

    static void starting(SoupMessage* message, gpointer data) {
        auto* self = static_cast<state*>(data);
        if (self->new_socket) {
            self->connections->add(soup_message_get_connection_id(message),
                                   std::move(self->new_socket));
            self->new_socket = {};
        }
        if (!self->is_over && !self->is_handed) {
            self->is_handed = true;
            self->notify.handed();
        }
    }

    static void head_received(GObject* source, GAsyncResult* result, gpointer data) {
        const holder self = release(data);
        GError* problem = nullptr;
        self->input = task::g_pointer<GInputStream>(
            soup_session_send_finish(SOUP_SESSION(source), result, &problem));
        if (!self->input) {
            const std::string reason = take_message(problem);
            self->end(self->is_handed ? call_end::broken : call_end::unreachable, reason);
            return;
        }
        if (self->is_over) {
            return;
        }
        self->notify.head(head_of(self->message.get()));
        self->read_more();
    }

    void read_more() {
        if (this->is_over && !this->is_draining) {
            return;
        }
        if (this->round) {
            this->round->add([self = this->shared_from_this()] { self->read_what_came(); });
            return;
        }
        g_input_stream_read_async(this->input.get(), this->buffer.data(), this->buffer.size(),
                                  G_PRIORITY_DEFAULT, this->cancellable.get(),
                                  &state::data_received, this->hold());
    }

    void read_what_came() {
        GPollableInputStream* pollable = G_POLLABLE_INPUT_STREAM(this->input.get());
        while (!this->is_over || this->is_draining) {
            GError* problem = nullptr;
            const gssize size = g_pollable_input_stream_read_nonblocking(
                pollable, this->buffer.data(), this->buffer.size(), this->cancellable.get(),
                &problem);
            if (size < 0 && g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE) {
                g_error_free(problem);
                this->read_more();
                return;
            }
            if (!this->take_part(size, problem)) {
                return;
            }
        }
    }

    /// False where the answer is over.
    bool take_part(gssize size, GError* problem) {
        if (size < 0) {
            this->end(call_end::broken, take_message(problem));
            return false;
        }
        if (size == 0) {
            this->end_of_answer();
            return false;
        }
        if (this->is_draining) {
            return this->drain_part(static_cast<std::size_t>(size));
        }
        if (!this->is_over) {
            this->notify.data({this->buffer.data(), static_cast<std::size_t>(size)});
        }
        return !this->is_over || this->is_draining;
    }

    bool drain_part(std::size_t size) {
        this->drained += size;
        if (this->drained > drain_limit) {
            this->is_draining = false;
            this->cancel();
        }
        return this->is_draining;
    }

    void end_of_answer() {
        SoupMessageHeaders* headers = soup_message_get_response_headers(this->message.get());
        const bool is_chunked = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED;
        const bool is_last = soup_message_headers_header_contains(headers, "Connection", "close");
        const bool is_cut =
            is_chunked && !is_last &&
            this->connections->is_at_end(soup_message_get_connection_id(this->message.get()));
        if (is_cut) {
            this->end(call_end::broken, "connection ended before the last chunk");
        } else {
            this->end(call_end::complete, "");
        }
    }

    static void data_received(GObject* source, GAsyncResult* result, gpointer data) {
        const holder self = release(data);
        GError* problem = nullptr;
        const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &problem);
        if (self->take_part(size, problem)) {
            self->read_more();
        }
    }

    std::shared_ptr<connection_table> connections;
    std::shared_ptr<read_round> round;
    task::g_pointer<SoupMessage> message;
    task::g_pointer<GSocket> new_socket;
    task::g_pointer<GCancellable> cancellable;
    task::g_pointer<GInputStream> input;
    callbacks notify;
    std::array<char, read_size> buffer{};
    bool is_handed = false;
    bool is_over = false;
    bool is_draining = false;
    std::size_t drained = 0;
};

client::call::call(std::shared_ptr<state> made) : self(std::move(made)) {}

client::call::~call() {
    this->self->cancel();
}

void client::call::drain() {
    this->self->drain();
}

client::client(duration read_interval) : self(std::make_unique<sessions>(read_interval)) {}

client::~client() {
    soup_session_abort(this->self->session.get());
}

std::unique_ptr<client::call> client::start(const request& wanted, callbacks notify) {
    auto made = std::make_shared<call::state>(wanted, std::move(notify), *this->self);
    if (made->is_valid()) {
        made->start(this->self->session.get());
    } else {
        made->end(call_end::unreachable, "'" + wanted.url + "' is no URL");
    }
    return std::unique_ptr<call>(new call(std::move(made)));
}

} // namespace kingcupcart::http
