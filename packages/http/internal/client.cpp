#include "http/client.h"

#include "http/internal/connection_table.h"
#include "http/internal/read_coalescer.h"
#include "task/g_pointer.h"
#include "task/socket_options.h"

#include <libsoup/soup.h>

#include <array>
#include <utility>

namespace kingcupcart::http {

namespace {

constexpr int max_connections = 4096;
constexpr guint idle_timeout_seconds = 30;
constexpr std::size_t read_buffer_bytes = 16384;
/// The kernel closes a connection whose peer acknowledges nothing for this time.
constexpr unsigned peer_timeout_ms = 3000;
/// Maximum remainder of a response that is read so that its connection can be reused. Closing the
/// connection costs less than reading more.
constexpr std::size_t drain_limit_bytes = 65536;

std::string take_error_message(GError* problem) {
    std::string message = problem->message;
    g_error_free(problem);
    return message;
}

response_head read_head(SoupMessage* message) {
    response_head head;
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

/// The libsoup session, and the objects that all calls of the client share.
class client::session_state {
public:
    explicit session_state(duration read_interval)
        : session(soup_session_new_with_options(
              "max-conns", max_connections, "max-conns-per-host", max_connections, "idle-timeout",
              idle_timeout_seconds, "timeout", 0U, "proxy-resolver", nullptr, nullptr)) {
        soup_session_remove_feature_by_type(this->session.get(), SOUP_TYPE_CONTENT_DECODER);
        if (read_interval > duration::zero()) {
            this->coalescer = std::make_shared<read_coalescer>(read_interval);
        }
    }

    task::g_pointer<SoupSession> session;
    std::shared_ptr<connection_table> connections = std::make_shared<connection_table>();
    /// Null if responses are read as data arrives.
    std::shared_ptr<read_coalescer> coalescer;
};

/// State of a call. Each pending asynchronous operation holds a reference to it, so that it may
/// outlive the `call`.
class client::call::state : public std::enable_shared_from_this<client::call::state> {
public:
    state(const request& outgoing, callbacks notify, const session_state& owner)
        : connections(owner.connections),
          coalescer(owner.coalescer),
          message(soup_message_new(outgoing.method.c_str(), outgoing.url.c_str())),
          cancellable(g_cancellable_new()),
          notify(std::move(notify)),
          max_response_bytes(outgoing.max_response_bytes) {
        if (!this->message) {
            return;
        }
        // Without SOUP_MESSAGE_IDEMPOTENT libsoup opens a new connection for the request and never
        // resends it.
        unsigned flags = SOUP_MESSAGE_NO_REDIRECT;
        if (outgoing.repeatable) {
            flags |= SOUP_MESSAGE_IDEMPOTENT;
        }
        soup_message_set_flags(this->message.get(), static_cast<SoupMessageFlags>(flags));
        SoupMessageHeaders* headers = soup_message_get_request_headers(this->message.get());
        for (const header_field& field : outgoing.headers) {
            soup_message_headers_append(headers, field.name.c_str(), field.value.c_str());
        }
        if (!outgoing.body.empty() || !outgoing.content_type.empty()) {
            GBytes* body = g_bytes_new(outgoing.body.data(), outgoing.body.size());
            // Setting a body without a content type would remove the type given in the headers.
            const char* header_type = soup_message_headers_get_one(headers, "Content-Type");
            const std::string type = outgoing.content_type.empty() && header_type != nullptr
                                         ? header_type
                                         : outgoing.content_type;
            soup_message_set_request_body_from_bytes(this->message.get(),
                                                     type.empty() ? nullptr : type.c_str(), body);
            g_bytes_unref(body);
        }
        g_signal_connect(this->message.get(), "starting", G_CALLBACK(&state::message_starting),
                         this);
        g_signal_connect(this->message.get(), "network-event", G_CALLBACK(&state::network_event),
                         this);
    }

    ~state() {
        this->stop_coalesced_reads();
        if (this->message) {
            g_signal_handlers_disconnect_by_data(this->message.get(), this);
        }
    }
    state(const state&) = delete;
    state& operator=(const state&) = delete;

    void start(SoupSession* session) {
        soup_session_send_async(session, this->message.get(), G_PRIORITY_DEFAULT,
                                this->cancellable.get(), &state::head_received,
                                this->retain_state());
    }

    void cancel() {
        if (this->is_draining) {
            return;
        }
        this->is_over = true;
        this->stop_coalesced_reads();
        g_cancellable_cancel(this->cancellable.get());
    }

    void drain() {
        this->is_draining = !this->is_over;
        this->is_over = true;
    }

    [[nodiscard]] bool is_valid() const { return static_cast<bool>(this->message); }

    void finish(call_result result, const std::string& reason) {
        this->stop_coalesced_reads();
        if (!this->is_over) {
            this->is_over = true;
            const auto on_complete = std::move(this->notify.on_complete);
            on_complete(result, reason);
        }
    }

private:
    using state_pointer = std::shared_ptr<state>;

    gpointer retain_state() { return new state_pointer(this->shared_from_this()); }

    static state_pointer take_retained_state(gpointer data) {
        auto* retained = static_cast<state_pointer*>(data);
        state_pointer taken = std::move(*retained);
        delete retained;
        return taken;
    }

    static void network_event(SoupMessage* /*message*/, GSocketClientEvent event, GIOStream* stream,
                              gpointer data) {
        if (event == G_SOCKET_CLIENT_CONNECTING && G_IS_SOCKET_CONNECTION(stream)) {
            task::set_peer_timeout(g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)),
                                   peer_timeout_ms);
        }
        if (event == G_SOCKET_CLIENT_COMPLETE && G_IS_SOCKET_CONNECTION(stream)) {
            GSocket* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
            static_cast<state*>(data)->new_socket = task::g_pointer<GSocket>::share(socket);
        }
    }

    static void message_starting(SoupMessage* message, gpointer data) {
        auto* call_state = static_cast<state*>(data);
        if (call_state->new_socket) {
            call_state->connections->add(soup_message_get_connection_id(message),
                                         std::move(call_state->new_socket));
            call_state->new_socket = {};
        }
        if (!call_state->is_over && !call_state->has_write_started) {
            call_state->has_write_started = true;
            call_state->notify.on_write_started();
        }
    }

    static void head_received(GObject* source, GAsyncResult* result, gpointer data) {
        const state_pointer call_state = take_retained_state(data);
        GError* problem = nullptr;
        call_state->input = task::g_pointer<GInputStream>(
            soup_session_send_finish(SOUP_SESSION(source), result, &problem));
        if (!call_state->input) {
            const std::string reason = take_error_message(problem);
            call_state->finish(call_state->has_write_started ? call_result::broken
                                                             : call_result::unreachable,
                               reason);
            return;
        }
        if (call_state->is_over) {
            return;
        }
        call_state->notify.on_head(read_head(call_state->message.get()));
        call_state->read_more();
    }

    void read_more() {
        if (this->is_over && !this->is_draining) {
            return;
        }
        if (this->coalescer && this->start_coalesced_reads()) {
            return;
        }
        g_input_stream_read_async(this->input.get(), this->buffer.data(), this->buffer.size(),
                                  G_PRIORITY_DEFAULT, this->cancellable.get(),
                                  &state::data_received, this->retain_state());
    }

    /// Returns false if the connection's socket is not known.
    bool start_coalesced_reads() {
        if (this->coalesced_socket) {
            return true;
        }
        GSocket* socket =
            this->connections->find(soup_message_get_connection_id(this->message.get()));
        if (socket == nullptr || g_socket_is_closed(socket) != FALSE) {
            return false;
        }
        this->coalesced_socket = task::g_pointer<GSocket>::share(socket);
        this->coalesced_number =
            this->coalescer->add(g_socket_get_fd(socket), [call_state = this->shared_from_this()] {
                call_state->read_available();
            });
        // The bytes that followed the head may be in libsoup's buffer already.
        this->read_available();
        return true;
    }

    void stop_coalesced_reads() {
        if (this->coalesced_socket) {
            this->coalescer->remove(g_socket_get_fd(this->coalesced_socket.get()),
                                    this->coalesced_number);
            this->coalesced_socket = {};
        }
    }

    void read_available() {
        GPollableInputStream* pollable = G_POLLABLE_INPUT_STREAM(this->input.get());
        while (!this->is_over || this->is_draining) {
            GError* problem = nullptr;
            const gssize size = g_pollable_input_stream_read_nonblocking(
                pollable, this->buffer.data(), this->buffer.size(), this->cancellable.get(),
                &problem);
            if (size < 0 && g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE) {
                g_error_free(problem);
                return;
            }
            if (!this->handle_read(size, problem)) {
                return;
            }
        }
    }

    /// Returns false once nothing more is to be read.
    bool handle_read(gssize size, GError* problem) {
        if (size < 0) {
            this->finish(call_result::broken, take_error_message(problem));
            return false;
        }
        if (size == 0) {
            this->handle_end_of_body();
            return false;
        }
        if (this->is_draining) {
            return this->count_drained(static_cast<std::size_t>(size));
        }
        this->received_bytes += static_cast<std::size_t>(size);
        if (this->max_response_bytes > 0 && this->received_bytes > this->max_response_bytes) {
            this->finish(call_result::broken, "the response is longer than " +
                                                  std::to_string(this->max_response_bytes) +
                                                  " bytes");
            g_cancellable_cancel(this->cancellable.get());
            return false;
        }
        if (!this->is_over) {
            this->notify.on_data({this->buffer.data(), static_cast<std::size_t>(size)});
        }
        return !this->is_over || this->is_draining;
    }

    bool count_drained(std::size_t size) {
        this->drained_bytes += size;
        if (this->drained_bytes > drain_limit_bytes) {
            this->is_draining = false;
            this->cancel();
        }
        return this->is_draining;
    }

    void handle_end_of_body() {
        SoupMessageHeaders* headers = soup_message_get_response_headers(this->message.get());
        const bool is_chunked = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CHUNKED;
        const bool closes_connection =
            soup_message_headers_header_contains(headers, "Connection", "close");
        const bool is_truncated = is_chunked && !closes_connection &&
                                  this->connections->is_closed_by_peer(
                                      soup_message_get_connection_id(this->message.get()));
        if (is_truncated) {
            this->finish(call_result::broken, "connection closed before the last chunk");
        } else {
            this->finish(call_result::complete, "");
        }
    }

    static void data_received(GObject* source, GAsyncResult* result, gpointer data) {
        const state_pointer call_state = take_retained_state(data);
        GError* problem = nullptr;
        const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &problem);
        if (call_state->handle_read(size, problem)) {
            call_state->read_more();
        }
    }

    std::shared_ptr<connection_table> connections;
    std::shared_ptr<read_coalescer> coalescer;
    task::g_pointer<SoupMessage> message;
    task::g_pointer<GSocket> new_socket;
    task::g_pointer<GCancellable> cancellable;
    task::g_pointer<GInputStream> input;
    /// Set while the coalescer reads the response.
    task::g_pointer<GSocket> coalesced_socket;
    std::uint64_t coalesced_number = 0;
    callbacks notify;
    std::size_t max_response_bytes;
    std::size_t received_bytes = 0;
    std::array<char, read_buffer_bytes> buffer{};
    bool has_write_started = false;
    bool is_over = false;
    bool is_draining = false;
    std::size_t drained_bytes = 0;
};

client::call::call(std::shared_ptr<state> new_state) : impl(std::move(new_state)) {}

client::call::~call() {
    this->impl->cancel();
}

void client::call::drain() {
    this->impl->drain();
}

client::client(duration read_interval) : impl(std::make_unique<session_state>(read_interval)) {}

client::~client() {
    soup_session_abort(this->impl->session.get());
}

std::unique_ptr<client::call> client::start(const request& outgoing, callbacks notify) {
    auto new_state = std::make_shared<call::state>(outgoing, std::move(notify), *this->impl);
    if (new_state->is_valid()) {
        new_state->start(this->impl->session.get());
    } else {
        new_state->finish(call_result::unreachable, "'" + outgoing.url + "' is not a valid URL");
    }
    return std::unique_ptr<call>(new call(std::move(new_state)));
}

} // namespace kingcupcart::http
